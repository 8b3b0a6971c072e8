package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.EngineView
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.path.PathDemand
import io.mimosatrail.core.path.PathSearch
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.placement.EngineProfile

/** Chooses one upstream of a plain service. */
internal class PlainTargets(private val call: RoutedCall, private val context: ForwardContext) : TargetChooser {
    override fun choose(tried: Set<InstanceId>): Target? {
        val upstreams = context.registry.of(call.service.id)
        return context.balancer.choose(upstreams, tried, context.clock())?.let { Target(it, emptyList(), 0) }
    }
}

/** Chooses a path through the engines of a model. */
internal class PathTargets(
    private val call: RoutedCall,
    private val profile: EngineProfile,
    private val context: ForwardContext,
) : TargetChooser {
    private val search = PathSearch(profile, mayCross = ::mayCross)
    private val view = EngineView(context.traffic, context.peerLoads, profile)
    private val demand = demand()

    override fun choose(tried: Set<InstanceId>): Target? {
        val path = find(RoomQuestion(call.service.id, tried)) ?: return null
        val first = context.registry[path.first().engine.id] ?: return null
        return Target(first, path, demand.tokens)
    }

    override fun redirect(current: Target): Target? {
        val question = RoomQuestion(call.service.id, setOf(current.upstream.id), current.upstream.id)
        val path = find(question, current.path.first()) ?: return null
        return Target(current.upstream, path, current.tokens)
    }

    private fun find(question: RoomQuestion, firstPart: PathSegment? = null): List<PathSegment>? {
        val now = context.clock()
        if (context.room.isFull(question, now)) return null
        val engines = view.pathEngines(
            context.registry.of(question.service),
            question.without,
            context.share().entries,
            now,
        )
        val path = search.best(engines, demand, firstPart)?.segments
        if (path == null) context.room.onFull(question, now) else noteCrossings(path)
        return path
    }

    private fun mayCross(from: PlaceId, to: PlaceId): Boolean {
        val entries = context.share().entries
        return context.pipes.mayCross(from, to, profile.crossPlaceBytesPerSecond, entries, context.clock())
    }

    private fun noteCrossings(path: List<PathSegment>) {
        val bytes = profile.activationBytes.toDouble() * demand.tokens
        path.zipWithNext { part, next ->
            if (part.engine.place != next.engine.place) context.pipes.take(part.engine.place, next.engine.place, bytes)
        }
    }

    private fun demand(): PathDemand {
        val prompt = call.fields.prompt ?: profile.usualPromptTokens
        val limit = call.fields.outputLimit ?: profile.usualOutputTokens
        return PathDemand(prompt, minOf(limit, call.fields.outputEstimate ?: limit), context.place)
    }
}
