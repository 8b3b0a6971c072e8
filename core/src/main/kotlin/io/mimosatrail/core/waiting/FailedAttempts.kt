package io.mimosatrail.core.waiting

import io.mimosatrail.core.id.ServiceId

/**
 * Requests for which no target was found in the current tick. It spares others a search that would fail for the same
 * reason. Not thread-safe.
 */
class FailedAttempts {
    private val failed = HashMap<ServiceId, MutableList<WaitingTicket>>()

    /** Starts the next tick, in which targets may have room again. */
    fun clear() = failed.clear()

    /** Records that there is no target for [ticket]. */
    fun add(ticket: WaitingTicket) {
        failed.getOrPut(ticket.service) { mutableListOf() } += ticket
    }

    /** True if a request of the same or a higher rank found no target, and [ticket] asks for at least as much. */
    fun rulesOut(ticket: WaitingTicket): Boolean =
        failed[ticket.service]?.any { it.rank <= ticket.rank && ticket.size.covers(it.size) } ?: false
}
