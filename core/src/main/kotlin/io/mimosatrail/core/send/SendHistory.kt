package io.mimosatrail.core.send

import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId

/** Sends of one request that no upstream may have run are limited only by this. */
private const val MAX_UNRUN_SENDS = 5

/**
 * The sends of one request of [route] so far; decides whether another may follow and what its caller may be told.
 *
 * A request that is not repeatable is sent again only while every send so far has certainly not run.
 */
class SendHistory(private val route: HostRoute) {
    private val possibleRuns = mutableSetOf<InstanceId>()
    private var openUpstream: InstanceId? = null

    /** Sends that certainly did not run. */
    var unrunSends = 0
        private set

    /** Upstreams that may have run the request or still may; those that refused it may be asked again. */
    val tried: Set<InstanceId> get() = openUpstream?.let { possibleRuns + it } ?: possibleRuns

    /** Number of sends. */
    var sends = 0
        private set

    /** True where no upstream has run the request, nor ever will. */
    val hasNotRun: Boolean get() = openUpstream == null && possibleRuns.isEmpty()

    /** Notes that the request is being handed to [upstream]. */
    fun onSend(upstream: InstanceId) {
        check(openUpstream == null) { "a send to $openUpstream is still open" }
        check(mayRunAgain()) { "request of route ${route.name} may not be sent again" }
        sends++
        openUpstream = upstream
    }

    /** Notes how the open send ended. */
    fun onEnd(end: SendEnd) {
        val upstream = checkNotNull(openUpstream) { "no send is open" }
        openUpstream = null
        if (end.hasNotRun) unrunSends++ else possibleRuns += upstream
    }

    /** Notes that the open send was answered whole. */
    fun onAnswered() {
        possibleRuns += checkNotNull(openUpstream) { "no send is open" }
        openUpstream = null
    }

    /** True where the request may be handed to one more upstream if the open send fails after it ran. */
    fun mayFailAndSendAgain(): Boolean = route.isRepeatable && possibleRuns.size + 1 < runLimit()

    /** True where the request may be handed to one more upstream. */
    fun maySendAgain(): Boolean = openUpstream == null && unrunSends < MAX_UNRUN_SENDS && mayRunAgain()

    private fun mayRunAgain(): Boolean =
        possibleRuns.isEmpty() || (route.isRepeatable && possibleRuns.size < runLimit())

    private fun runLimit(): Int = if (route.kind == RouteKind.NON_IDEMPOTENT) 1 else route.maxUpstreams
}
