package io.mimosatrail.gateway.forward

import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.waiting.FailedAttempts
import io.mimosatrail.core.waiting.WaitingOrder
import io.mimosatrail.core.waiting.WaitingTicket

/** Requests of ranked services that wait for their first target, in the order in which they retry. */
internal class WaitingRequests {
    private val order = WaitingOrder()
    private val requests = HashMap<WaitingTicket, ForwardedRequest>()
    private val failed = FailedAttempts()

    /** Starts a tick, and gives the waiting requests in the order in which they retry. */
    fun startTick(now: Moment): List<ForwardedRequest> {
        failed.clear()
        return if (requests.isEmpty()) emptyList() else order.order(now).map(requests::getValue)
    }

    /** Adds [request], and refuses the one that can't be served in time or for which there is no place. */
    fun add(ticket: WaitingTicket, request: ForwardedRequest, now: Moment) {
        requests[ticket] = request
        order.add(ticket, now)?.let { requests.remove(it)?.refuseWaiting() }
    }

    /** Removes a request that ends without a target. */
    fun remove(ticket: WaitingTicket, now: Moment) {
        requests -= ticket
        order.remove(ticket, now)
    }

    /** Records that the request with [ticket], whether it waited or not, has got a target. */
    fun onServed(ticket: WaitingTicket, now: Moment) {
        requests -= ticket
        order.onServed(ticket, now)
    }

    /** Records that no target was found for the waiting request with [ticket] in this tick. */
    fun onNoneFound(ticket: WaitingTicket) = failed.add(ticket)

    /** True if the request with [ticket] may search for a target now. */
    fun mayTry(ticket: WaitingTicket): Boolean =
        if (ticket in requests) !failed.rulesOut(ticket) else !order.mustWait(ticket)

    /** Number of waiting requests that go before the one with [ticket]. */
    fun ahead(ticket: WaitingTicket, now: Moment): Int = order.ahead(ticket, now)
}
