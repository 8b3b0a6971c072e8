package io.mimosatrail.gateway.forward

import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.waiting.RequestSize
import io.mimosatrail.core.waiting.WaitingTicket
import io.mimosatrail.gateway.log.logEvent
import kotlin.time.Duration

/**
 * The place of [request] among those that wait for a target for at most [limit]. It concerns only requests of ranked
 * services that have had no target yet: one that has been sent, or was about to be, is never held back by others.
 */
internal class QueuePlace(
    private val call: RoutedCall,
    limit: Duration,
    private val request: ForwardedRequest,
    private val context: ForwardContext,
) {
    private val waiting = context.inFlight.waiting
    private val ticket = if (call.isRanked) ticketOf(call, limit) else null
    private var hasHadTarget = false
    private var waitsSince: Moment? = null

    /** Number of requests that go before this one, or null if it is not in this order. */
    val ahead: Int? get() = queueable()?.let { waiting.ahead(it, context.clock()) }

    /** Result of [search] if it is the turn of this request, or null. */
    fun choose(search: () -> Target?): Target? {
        val own = queueable() ?: return search()
        if (waitsSince == null && isRetryWaiting() || !waiting.mayTry(own)) return null
        val target = search()
        if (target != null) {
            onTarget(own)
        } else if (waitsSince != null) {
            waiting.onNoneFound(own)
        }
        return target
    }

    /** Joins the waiting requests, of which one may be refused at once, also this one. */
    fun join() {
        val own = queueable() ?: return
        val now = context.clock()
        waitsSince = now
        waiting.add(own, request, now)
    }

    /** Records that the request is refused. */
    fun onRefused() {
        val since = waitsSince ?: return
        context.meters.onWaitRefused(call.rank)
        logEvent(
            "forward",
            "refused-waiting",
            "request" to call.fields.request,
            "service" to call.service.id,
            "rank" to call.rank,
            "ahead" to ahead,
            "waited" to context.clock() - since,
        )
    }

    /** Leaves the waiting requests, as the request has ended. */
    fun leave() {
        val since = waitsSince ?: return
        val now = context.clock()
        waitsSince = null
        context.meters.onWaited(call.rank, now - since)
        ticket?.let { waiting.remove(it, now) }
    }

    private fun onTarget(own: WaitingTicket) {
        hasHadTarget = true
        val now = context.clock()
        waiting.onServed(own, now)
        waitsSince?.let { context.meters.onWaited(call.rank, now - it) }
        waitsSince = null
    }

    /** True if a request that has been sent waits for another target: it goes before newcomers, at the next tick. */
    private fun isRetryWaiting(): Boolean = context.inFlight.count { it.isRetryWaiting(call.service.id) } > 0

    private fun queueable(): WaitingTicket? = ticket?.takeUnless { hasHadTarget }
}

private fun ticketOf(call: RoutedCall, limit: Duration) = WaitingTicket(
    call.service.id,
    call.rank,
    call.workspace?.id,
    call.caller.receivedAt + call.route.target,
    limit,
    call.service.engine?.let { sizeOf(call.fields, it) } ?: RequestSize(0, 0),
)
