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
 * A request that is not repeatable is sent again only if all earlier sends have certainly not run, so at most one of
 * its sends is open at a time.
 */
class SendHistory(private val route: HostRoute) {
    /** Upstreams of ended sends that may have run the request. */
    private val possibleRuns = mutableSetOf<InstanceId>()
    private val openUpstreams = mutableSetOf<InstanceId>()

    /** Number of sends that certainly did not run. */
    var notRunSends = 0
        private set

    /**
     * Upstreams that must not get the request again since they may have run it or may still run it. Upstreams that
     * refused it are not among them.
     */
    val excludedUpstreams: Set<InstanceId> get() = possibleRuns + openUpstreams

    /** Number of sends. */
    var sends = 0
        private set

    /** True if no upstream has run the request or can still run it. */
    val hasNotRun: Boolean get() = openUpstreams.isEmpty() && possibleRuns.isEmpty()

    /** Records that the request is being sent to [upstream]; the send is open until [onEnd] or [onAnswered]. */
    fun onSend(upstream: InstanceId) {
        check(upstream !in openUpstreams) { "the send to $upstream has not ended" }
        check(maySendAgain()) { "a request of route ${route.name} must not be sent again after it may have run" }
        sends++
        openUpstreams += upstream
    }

    /** Records that the open send to [upstream] ended without a usable answer. */
    fun onEnd(upstream: InstanceId, end: SendEnd) {
        close(upstream)
        if (end.hasNotRun) notRunSends++ else possibleRuns += upstream
    }

    /** Records that the open send to [upstream] got a complete answer. */
    fun onAnswered(upstream: InstanceId) {
        close(upstream)
        possibleRuns += upstream
    }

    /** True if the request may be sent to another upstream even if the open sends run and then fail. */
    fun mayRetryAfterRun(): Boolean = route.isRepeatable && maySendAgain()

    /** True if the request may be sent to another upstream now. */
    fun maySendAgain(): Boolean = notRunSends < MAX_NOT_RUN_SENDS && (hasNotRun || isRunAllowed())

    private fun isRunAllowed(): Boolean = route.isRepeatable && possibleRuns.size + openUpstreams.size < runLimit()

    private fun close(upstream: InstanceId) = check(openUpstreams.remove(upstream)) { "no send to $upstream is open" }

    private fun runLimit(): Int = if (route.kind == RouteKind.NON_IDEMPOTENT) 1 else route.maxUpstreams
}
