package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logFailure

/** Requests that are being forwarded. Confined to the event loop. */
internal class InFlightTable {
    private val requests = LinkedHashSet<ForwardedRequest>()

    /** Those of them that wait for a target and have ranks. */
    val waiting = WaitingRequests()

    val size: Int get() = requests.size

    /** Number of requests for which [condition] holds. */
    fun count(condition: (ForwardedRequest) -> Boolean): Int = requests.count(condition)

    /** Upstreams to which requests for which [condition] holds have been sent. */
    fun upstreams(condition: (ForwardedRequest) -> Boolean): Set<InstanceId> =
        requests.filter(condition).flatMapTo(HashSet()) { it.openUpstreams }

    operator fun plusAssign(request: ForwardedRequest) {
        requests += request
    }

    operator fun minusAssign(request: ForwardedRequest) {
        requests -= request
    }

    /** Ends each request that would otherwise end without a response, since this entry stops now. */
    fun onStop() = requests.toList().forEach { it.onStop() }

    /** Redirects every stream whose path contains [engine], which is down. */
    fun onEngineDown(engine: InstanceId) = requests.toList().forEach { it.onEngineDown(engine) }

    /** Activity of the open streams. */
    fun streamActivities(now: Moment): List<StreamActivity> = requests.flatMap { it.streamActivities(now) }

    /**
     * Lets each request check its deadlines. One that fails for an unforeseen reason ends, and the others go on. Those
     * that wait by rank come last, in their order: a request that has been sent goes before those that have not.
     */
    fun tick(now: Moment) {
        val last = waiting.startTick(now)
        for (request in if (last.isEmpty()) requests.toList() else (requests - last.toSet()) + last) {
            try {
                request.onTick(now)
            } catch (e: RuntimeException) {
                logFailure("request", e)
                request.onFault()
            }
        }
    }
}
