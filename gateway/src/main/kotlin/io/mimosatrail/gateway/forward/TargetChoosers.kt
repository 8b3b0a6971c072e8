package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.EngineView
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathDemand
import io.mimosatrail.core.path.PathSearch
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
    private val search = PathSearch(profile)
    private val view = EngineView(context.traffic, profile)

    override fun choose(tried: Set<InstanceId>): Target? {
        val records = context.registry.of(call.service.id)
        val engines = view.rows(records, tried, context.share().perPlace, context.clock())
        val demand = demand()
        val path = search.best(engines, demand) ?: return null
        val first = context.registry[path.parts.first().engine.id] ?: return null
        return Target(first, path.parts, demand.tokens)
    }

    override fun redirect(current: Target): Target? {
        val records = context.registry.of(call.service.id)
        val engines = view.rows(records, emptySet(), context.share().perPlace, context.clock())
        val path = search.best(engines, demand(), current.path.first()) ?: return null
        return Target(current.upstream, path.parts, current.tokens)
    }

    private fun demand(): PathDemand {
        val prompt = call.fields.prompt ?: profile.usualPromptTokens
        val limit = call.fields.outputLimit ?: profile.usualOutputTokens
        return PathDemand(prompt, minOf(limit, call.fields.outputEstimate ?: limit), context.place)
    }
}
