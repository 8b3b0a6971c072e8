package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.EngineView
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.path.PathDemand
import io.mimosatrail.core.path.PathSearch
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.waiting.RequestSize

/** Chooses one upstream of a plain service. */
internal class PlainTargetChooser(private val call: RoutedCall, private val context: ForwardContext) : TargetChooser {
    override fun choose(excluded: Set<InstanceId>): Target? {
        val upstreams = context.registry.of(call.service.id)
        val notUsed = excluded + context.access.exhausted() + context.access.paused()
        return context.balancer.choose(upstreams, notUsed, context.clock())?.let { Target(it, emptyList(), 0) }
    }

    override fun possibleUpstreams(excluded: Set<InstanceId>): List<InstanceId> =
        context.registry.of(call.service.id).filter { !it.isDraining && it.id !in excluded }.map { it.id }
}

/** Chooses a path through the engines of a model. */
internal class PathTargetChooser(
    private val call: RoutedCall,
    private val profile: EngineProfile,
    private val context: ForwardContext,
) : TargetChooser {
    private val search = PathSearch(profile, mayCross = ::mayCross)
    private val view = EngineView(context.traffic, context.peerLoads, profile)
    private val size = sizeOf(call.fields, profile)
    private val demand = demand(size)

    /**
     * Distinguishes failed searches of a ranked service: the turn of a request that is too large must not keep smaller
     * ones from searching.
     */
    private val searchedSize = size.takeIf { call.isRanked }

    override fun choose(excluded: Set<InstanceId>): Target? {
        val exhausted = ofThisService(context.access.exhausted())
        val unusable = excluded + ofThisService(context.access.paused())
        val path =
            findPath(SearchKey(call.service.id, unusable, notFirst = exhausted, size = searchedSize)) ?: return null
        val first = context.registry[path.first().engine.id] ?: return null
        return Target(first, path, demand.tokens, records(path))
    }

    override fun redirect(current: Target): Target? {
        val unusable = ofThisService(context.access.paused()) + current.upstream.id
        val key = SearchKey(call.service.id, unusable, firstEngine = current.upstream.id)
        val path = findPath(key, current.path.first()) ?: return null
        return Target(current.upstream, path, current.tokens, records(path))
    }

    override fun possibleUpstreams(excluded: Set<InstanceId>): List<InstanceId> =
        engines().filter { !it.isDraining && it.id !in excluded && it.layers?.first == 0 }.map { it.id }

    private fun ofThisService(upstreams: Set<InstanceId>): Set<InstanceId> =
        upstreams.filterTo(HashSet()) { context.registry[it]?.service == call.service.id }

    private fun records(path: List<PathSegment>): List<UpstreamRecord> =
        path.mapNotNull { context.registry[it.engine.id] }

    private fun engines(): List<UpstreamRecord> = context.registry.of(call.service.id)

    private fun findPath(key: SearchKey, firstSegment: PathSegment? = null): List<PathSegment>? {
        val now = context.clock()
        if (context.failedSearches.contains(key, now)) return null
        val engines = view.pathEngines(
            engines(),
            key.excluded,
            context.share().entries,
            now,
            key.notFirst,
        )
        val path = search.best(engines, demand, firstSegment)?.segments
        if (path == null) context.failedSearches.add(key, now) else chargeLinks(path)
        return path
    }

    private fun mayCross(from: PlaceId, to: PlaceId): Boolean {
        val entries = context.share().entries
        return context.linkBudget.mayCross(from, to, profile.crossPlaceBytesPerSecond, entries, context.clock())
    }

    /** Takes the bytes that the request will send over each link between places on [path] from the link budget. */
    private fun chargeLinks(path: List<PathSegment>) {
        val bytes = profile.activationBytes.toDouble() * demand.tokens
        path.zipWithNext { segment, next ->
            val from = segment.engine.place
            val to = next.engine.place
            if (from != to) context.linkBudget.take(from, to, bytes)
        }
    }

    private fun demand(size: RequestSize) = PathDemand(size.promptTokens, size.outputTokens, context.place)
}
