package io.mimosatrail.core.waiting

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The requests of this entry that wait for a target, and the order in which they retry.
 *
 * Of a ranked service, higher ranks go first, within a rank the workspace that was served the least in the last
 * seconds, and within a workspace the request whose objective passes first; every fourth turn goes to a lower rank. Of
 * an unranked service, requests go in order of arrival. Not thread-safe.
 */
class WaitingOrder {
    private val queues = HashMap<ServiceId, ServiceQueue>()
    private val unranked = LinkedHashSet<WaitingTicket>()
    private var added = 0L

    /** Number of requests that wait. */
    val size: Int get() = unranked.size + queues.values.sumOf { it.size }

    /**
     * Adds [ticket], and returns the ticket of the request that has to be refused at once, which has been removed; null
     * if there is none. It is [ticket] itself if its expected wait exceeds its limit, and one of the lowest rank if
     * more than [MAX_WAITING] requests for the service would wait.
     */
    fun add(ticket: WaitingTicket, now: Moment): WaitingTicket? {
        ticket.number = added++
        if (!ticket.isRanked) {
            unranked += ticket
            return null
        }
        val queue = queues.getOrPut(ticket.service) { ServiceQueue() }
        queue.add(ticket, now)
        val refused = when {
            isTooLate(ticket, queue, now) -> ticket
            queue.size > MAX_WAITING -> queue.newestOfLowest()
            else -> null
        }
        refused?.let { queue.remove(it, now) }
        return refused
    }

    /** Removes [ticket], whose request no longer waits and wasn't served; nothing if it doesn't wait. */
    fun remove(ticket: WaitingTicket, now: Moment) {
        if (!unranked.remove(ticket)) queues[ticket.service]?.remove(ticket, now)
    }

    /** All waiting requests, those of the same service in the order in which they may try to get a target. */
    fun order(now: Moment): List<WaitingTicket> = unranked.toList() + queues.values.flatMap { it.order(now) }

    /** True if a new request with [ticket] must not try before requests that wait. */
    fun mustWait(ticket: WaitingTicket): Boolean =
        ticket.isRanked && queues[ticket.service]?.mustWait(ticket.rank) == true

    /** Records that the request with [ticket], whether it waited or not, has got a target. */
    fun onServed(ticket: WaitingTicket, now: Moment) {
        if (!ticket.isRanked) return remove(ticket, now)
        queues.getOrPut(ticket.service) { ServiceQueue() }.onServed(ticket, now)
    }

    /** Number of waiting requests that go before [ticket], which waits or is about to. */
    fun ahead(ticket: WaitingTicket, now: Moment): Int {
        if (!ticket.isRanked) return unranked.takeWhile { it !== ticket }.count { it.service == ticket.service }
        val queue = queues.getOrPut(ticket.service) { ServiceQueue() }
        val order = queue.order(now)
        val position = order.indexOf(ticket)
        if (position >= 0) return position
        ticket.number = added
        queue.add(ticket, now)
        return queue.order(now).indexOf(ticket).also { queue.remove(ticket, now) }
    }

    /** A rank of which no other request waits keeps its request, since else a low rank could get no turn at all. */
    private fun isTooLate(ticket: WaitingTicket, queue: ServiceQueue, now: Moment): Boolean {
        if (queue.isOnlyOneOfRank(ticket)) return false
        val perSecond = queue.perSecond(now) ?: return false
        if (expectedWait(queue.size - 1, perSecond) <= ticket.limit) return false
        return expectedWait(queue.order(now).indexOf(ticket), perSecond) > ticket.limit
    }

    private fun expectedWait(ahead: Int, perSecond: Double): Duration = 1.seconds * (ahead / perSecond)

    companion object {
        /** Requests of one service that wait at the same time at most. */
        const val MAX_WAITING = 256
    }
}
