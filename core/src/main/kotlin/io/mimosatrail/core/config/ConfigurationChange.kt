package io.mimosatrail.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * Checks [ticket] and returns the configuration that results from applying it to this one.
 *
 * Fails with [TicketRefusal.Superseded] if a ticket with the same or a higher number has already changed one of its
 * objects, and with [TicketRefusal.Invalid] if the ticket or the resulting configuration is not consistent.
 */
fun Configuration.apply(ticket: Ticket): Result<Configuration, TicketRefusal> {
    val problems = ticket.problems()
    if (problems.isNotEmpty()) return Err(TicketRefusal.Invalid(problems))
    val superseded = ticket.touched.mapNotNull { touched -> supersededObject(touched, ticket) }
    if (superseded.isNotEmpty()) return Err(TicketRefusal.Superseded(superseded))
    val next = replaceTouched(ticket)
    return next.referenceProblems(ticket, this).let { if (it.isEmpty()) Ok(next) else Err(TicketRefusal.Invalid(it)) }
}

/**
 * Applies an accepted record without checking its ticket again. Fails if the record's revision is not the next one.
 */
fun Configuration.replay(record: ConfigRecord): Result<Configuration, RevisionGap> =
    if (record.revision == revision.next()) {
        Ok(replaceTouched(record.ticket))
    } else {
        Err(RevisionGap(revision, record.revision))
    }

/** Applies accepted records in order. Fails at the first whose revision is not the next one. */
fun Configuration.replay(records: List<ConfigRecord>): Result<Configuration, RevisionGap> =
    records.fold(Ok(this) as Result<Configuration, RevisionGap>) { configuration, record ->
        if (configuration.isErr) configuration else configuration.value.replay(record)
    }

private fun Configuration.supersededObject(touched: ConfigObject, ticket: Ticket): SupersededObject? =
    lastTickets[touched]?.takeIf { it >= ticket.number }?.let { SupersededObject(touched, it) }

private fun Configuration.replaceTouched(ticket: Ticket) = Configuration(
    revision = revision.next(),
    workspaces = workspaces - ticket.removed.workspaces.toSet() + ticket.workspaces.associateBy { it.id },
    services = services - ticket.removed.services.toSet() + (ticket.pools + ticket.services).associateBy { it.id },
    rules = rules - ticket.removed.rules.toSet() + ticket.rules.associateBy { it.id },
    lastTickets = lastTickets + ticket.touched.associateWith { ticket.number },
)

/** True if every object of [ticket] was last changed under its number and has the state that [ticket] gives it. */
fun Configuration.isUnchangedSince(ticket: Ticket): Boolean = ticket.touched.all { lastTickets[it] == ticket.number } &&
    ticket.workspaces.all { workspaces[it.id] == it } &&
    (ticket.pools + ticket.services).all { services[it.id] == it } &&
    ticket.rules.all { rules[it.id] == it } &&
    ticket.removed.objects.none { it in this }
