package io.mimosatrail.core.front

import io.mimosatrail.core.id.ServiceId
import kotlin.time.Duration

/**
 * A route for the requests to [host] whose path begins with [prefix]. [split] distributes them over services.
 *
 * [timeout] is the longest time that a caller waits, [target] the latency objective, and [maxUpstreams] the number of
 * upstreams that one request may run on. [gapTarget] is the objective for the longest pause between two events of a
 * stream, null if there is none. Priority 0 is the highest.
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
    /** True if a request of this route may run more than once. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** Chooses a service by weight; [draw] is a random number, uniform in 0 until 1. */
    fun service(draw: Double): ServiceId {
        var left = draw * split.sumOf { it.weight }
        for (option in split) {
            left -= option.weight
            if (left < 0) return option.service
        }
        return split.last { it.weight > 0 }.service
    }
}

/** Share of a route's requests that goes to [service], relative to the other weights of the route. */
data class WeightedService(val service: ServiceId, val weight: Double)
