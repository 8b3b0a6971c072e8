package io.mimosatrail.core.send

import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId

/** Limit on the sends of one request that certainly did not run. Other sends are limited by the route. */
private const val MAX_NOT_RUN_SENDS = 5

/**
 * The sends of one request of [route] so far. Decides whether the request may be sent again and whether the caller may
 * be told that it has not run.
 *
 * A request that is not repeatable is sent again only if all earlier sends have certainly not run. At most one send is
 * open at a time.
 */
class SendHistory(private val route: HostRoute) {
    /** Upstreams of ended sends that may have run the request. */
    private val possibleRuns = mutableSetOf<InstanceId>()
    private var openUpstream: InstanceId? = null

    /** Number of sends that certainly did not run. */
    var notRunSends = 0
        private set

    /**
     * Upstreams that must not get the request again since they may have run it or may still run it. Upstreams that
     * refused it are not among them.
     */
    val excludedUpstreams: Set<InstanceId> get() = openUpstream?.let { possibleRuns + it } ?: possibleRuns

    /** Number of sends. */
    var sends = 0
        private set

    /** True if no upstream has run the request or can still run it. */
    val hasNotRun: Boolean get() = openUpstream == null && possibleRuns.isEmpty()

    /** Records that the request is being sent to [upstream]; the send is open until [onEnd] or [onAnswered]. */
    fun onSend(upstream: InstanceId) {
        check(openUpstream == null) { "the send to $openUpstream has not ended" }
        check(mayRunAgain()) { "a request of route ${route.name} must not be sent again after it may have run" }
        sends++
        openUpstream = upstream
    }

    /** Records that the open send ended without a usable answer. */
    fun onEnd(end: SendEnd) {
        val upstream = checkNotNull(openUpstream) { "no send is open" }
        openUpstream = null
        if (end.hasNotRun) notRunSends++ else possibleRuns += upstream
    }

    /** Records that the open send got a complete answer. */
    fun onAnswered() {
        possibleRuns += checkNotNull(openUpstream) { "no send is open" }
        openUpstream = null
    }

    /** True if the request may be sent to another upstream even if the open send runs and then fails. */
    fun mayRetryAfterRun(): Boolean = route.isRepeatable && possibleRuns.size + 1 < runLimit()

    /** True if the request may be sent to another upstream now. */
    fun maySendAgain(): Boolean = openUpstream == null && notRunSends < MAX_NOT_RUN_SENDS && mayRunAgain()

    private fun mayRunAgain(): Boolean =
        possibleRuns.isEmpty() || (route.isRepeatable && possibleRuns.size < runLimit())

    private fun runLimit(): Int = if (route.kind == RouteKind.NON_IDEMPOTENT) 1 else route.maxUpstreams
}
