package io.mimosatrail.core.waiting

import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.rank.Rank
import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import java.util.TreeMap
import kotlin.time.Duration.Companion.seconds

/** The waiting requests of one ranked service. Not thread-safe. */
internal class ServiceQueue {
    private val byRank = TreeMap<Rank, LinkedHashSet<WaitingTicket>>()
    private val served = HashMap<WorkspaceId?, WorkspaceShare>()
    private val turns = TurnOrder()
    private val rate = DepartureRate()

    val size: Int get() = byRank.values.sumOf { it.size }

    fun add(ticket: WaitingTicket, now: Moment) {
        byRank.getOrPut(ticket.rank) { LinkedHashSet() } += ticket
        rate.onWaiting(true, now)
    }

    /** Returns false if [ticket] doesn't wait. */
    fun remove(ticket: WaitingTicket, now: Moment): Boolean {
        val tickets = byRank[ticket.rank] ?: return false
        if (!tickets.remove(ticket)) return false
        if (tickets.isEmpty()) byRank -= ticket.rank
        rate.onWaiting(byRank.isNotEmpty(), now)
        return true
    }

    /** True if a newcomer of [rank] has to let a waiting request go first. */
    fun mustWait(rank: Rank): Boolean = byRank.isNotEmpty() && (byRank.firstKey() <= rank || turns.isLowerDue)

    /** True if no other request of the rank of [ticket] waits. */
    fun isOnlyOneOfRank(ticket: WaitingTicket): Boolean = byRank[ticket.rank].orEmpty().all { it === ticket }

    /** Requests that leave the queue per second, or null if that isn't known. */
    fun perSecond(now: Moment): Double? = rate.perSecond(now)

    fun onServed(ticket: WaitingTicket, now: Moment) {
        if (remove(ticket, now)) rate.onDeparture(now)
        turns.onServed(ticket.rank, byRank.keys.toList())
        served.values.removeIf { it.count.sum(now) == 0L }
        served.getOrPut(ticket.workspace) { WorkspaceShare(now) }.onServed(now)
    }

    /** The waiting requests in the order in which they get a target if each finds one. */
    fun order(now: Moment): List<WaitingTicket> = buildList(size) {
        val forecast = turns.copy()
        val queues = byRank.mapValuesTo(TreeMap()) { (_, tickets) -> ArrayDeque(fairOrder(tickets, now)) }
        var ranks = queues.keys.toList()
        while (ranks.isNotEmpty()) {
            val rank = forecast.next(ranks)
            val queue = queues.getValue(rank)
            add(queue.removeFirst())
            if (queue.isEmpty()) ranks = ranks - rank
            forecast.onServed(rank, ranks)
        }
    }

    /**
     * The request to refuse if too many wait: the newest of the lowest rank. The last request of a rank stays, and the
     * workspace with the most waiting requests of the rank gives one up, so that a burst displaces no other workspace.
     */
    fun newestOfLowest(): WaitingTicket {
        val tickets = byRank.descendingMap().values.firstOrNull { it.size > 1 } ?: byRank.lastEntry().value
        return tickets.groupBy { it.workspace }.values.maxWith(compareBy({ it.size }, { it.last().number })).last()
    }

    /** [tickets] of one rank: the least served workspace first, each request of a workspace counting as served. */
    private fun fairOrder(tickets: Collection<WaitingTicket>, now: Moment): List<WaitingTicket> {
        val candidates = tickets.groupBy { it.workspace }.map { (workspace, own) ->
            val share = served[workspace]
            val tickets = ArrayDeque(own.sortedWith(byObjective))
            WorkspaceTurn(share?.count?.sum(now) ?: 0, share?.last ?: Moment(Long.MIN_VALUE), tickets)
        }
        val heap = PriorityQueue(candidates.size, byServed).apply { addAll(candidates) }
        return List(tickets.size) {
            val next = heap.remove()
            next.tickets.removeFirst().also {
                next.served++
                next.last = now
                if (next.tickets.isNotEmpty()) heap += next
            }
        }
    }

    /** Requests of a workspace that were served in the last seconds, the [last] of them then. */
    private class WorkspaceShare(var last: Moment) {
        val count = RecentSum(SHARE_WINDOW)

        fun onServed(now: Moment) {
            count.add(1, now)
            last = now
        }
    }

    private class WorkspaceTurn(var served: Long, var last: Moment, val tickets: ArrayDeque<WaitingTicket>)

    private companion object {
        /** Several times as long as a request waits at most, so that a workspace can't gain by pausing briefly. */
        val SHARE_WINDOW = 4.seconds

        val byObjective = compareBy<WaitingTicket>({ it.objective }, { it.number })
        val byServed = compareBy<WorkspaceTurn>({ it.served }, { it.last })
            .thenBy(byObjective) { it.tickets.first() }
    }
}
