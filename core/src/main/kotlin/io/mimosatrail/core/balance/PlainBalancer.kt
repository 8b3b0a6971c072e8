package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment

/** Chooses the upstream of a plain service for a request. */
class PlainBalancer(private val traffic: UpstreamTraffic, private val place: PlaceId) {
    /**
     * The least loaded of [upstreams] that is neither draining nor in [tried], or null if there is none. Upstreams that
     * recently failed or refused a request are chosen only if there is no other.
     */
    fun choose(upstreams: List<UpstreamRecord>, tried: Set<InstanceId>, now: Moment): UpstreamRecord? {
        val eligible = upstreams.filter { !it.isDraining && it.id !in tried }
        val healthy = eligible.filterNot { traffic[it.id].isAvoided(now) }
        return healthy.ifEmpty { eligible }.minByOrNull { cost(it, now) }
    }

    private fun cost(upstream: UpstreamRecord, now: Moment): Double {
        val row = traffic[upstream.id]
        val load = (row.outstanding + row.othersOutstanding(now)).toDouble() / upstream.slots.coerceAtLeast(1)
        val distance = if (upstream.place == place) 0.0 else OTHER_PLACE_COST
        return load + distance + row.failureShare * FAILURE_WEIGHT
    }

    private companion object {
        /** An upstream in another place costs as much as a load of a sixth of its slots. */
        const val OTHER_PLACE_COST = 0.16

        /** An upstream that always fails is chosen only if the others have twice as many requests as slots. */
        const val FAILURE_WEIGHT = 2.0
    }
}
