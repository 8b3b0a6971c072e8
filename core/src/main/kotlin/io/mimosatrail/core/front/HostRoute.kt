package io.mimosatrail.core.front

import io.mimosatrail.core.id.ServiceId
import kotlin.time.Duration

/**
 * Sends the requests of one host whose path begins with [prefix] to the services of [split].
 *
 * [timeout] is the longest time a caller is kept waiting, [target] the latency objective, [maxUpstreams] the number of
 * upstreams that one request may run on. [gapTarget] is the longest pause between two events of a stream that is still
 * on time. Priority 0 is the highest.
 */
data class HostRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val split: List<WeightedService>,
    val timeout: Duration,
    val target: Duration,
    val gapTarget: Duration?,
    val maxUpstreams: Int,
    val priority: Int,
    val isAnonymous: Boolean = false,
    val isResumable: Boolean = false,
) {
    /** True where a request of this route may run more than once. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** The service for a request, where [draw] is uniform in 0 until 1. */
    fun service(draw: Double): ServiceId {
        var left = draw * split.sumOf { it.weight }
        for (part in split) {
            left -= part.weight
            if (left < 0) return part.service
        }
        return split.last { it.weight > 0 }.service
    }
}

/** Share of a route's requests that goes to [service], relative to the other weights of the route. */
data class WeightedService(val service: ServiceId, val weight: Double)
