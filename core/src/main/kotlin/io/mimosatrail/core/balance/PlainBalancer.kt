package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment

/** Chooses the upstream of a plain service for a request. */
class PlainBalancer(private val traffic: UpstreamTraffic, private val place: PlaceId) {
    /**
     * The least loaded of [upstreams] that is not in [tried]. Draining ones get nothing; those that failed or refused
     * lately get work only where there is no other.
     */
    fun choose(upstreams: List<UpstreamRecord>, tried: Set<InstanceId>, now: Moment): UpstreamRecord? {
        val open = upstreams.filter { !it.isDraining && it.id !in tried }
        val sound = open.filterNot { traffic[it.id].isAvoided(now) }
        return sound.ifEmpty { open }.minByOrNull { cost(it, now) }
    }

    private fun cost(upstream: UpstreamRecord, now: Moment): Double {
        val row = traffic[upstream.id]
        val load = (row.outstanding + row.othersOutstanding(now)).toDouble() / upstream.slots.coerceAtLeast(1)
        val distance = if (upstream.place == place) 0.0 else OTHER_PLACE
        return load + distance + row.failureShare * FAILURE_WEIGHT
    }

    private companion object {
        /** Another place costs as much as a sixth of an upstream's slots. */
        const val OTHER_PLACE = 0.16

        /** An upstream that always fails is taken only where the others are twice over their slots. */
        const val FAILURE_WEIGHT = 2.0
    }
}
