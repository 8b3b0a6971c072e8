package io.mimosatrail.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * Checks [ticket] against this configuration and answers the configuration that follows.
 *
 * Fails with [TicketRefusal.Superseded] where an object already carries the same or a later number, and with
 * [TicketRefusal.Invalid] where the ticket or the resulting whole is not consistent.
 */
fun Configuration.apply(ticket: Ticket): Result<Configuration, TicketRefusal> {
    val problems = ticket.problems()
    if (problems.isNotEmpty()) return Err(TicketRefusal.Invalid(problems))
    val winners = ticket.touched.mapNotNull { touched -> winner(touched, ticket) }
    if (winners.isNotEmpty()) return Err(TicketRefusal.Superseded(winners))
    val next = replaceTouched(ticket)
    return next.referenceProblems(ticket, this).let { if (it.isEmpty()) Ok(next) else Err(TicketRefusal.Invalid(it)) }
}

/**
 * Applies an accepted record. It was checked when it was accepted, so only its place in the log matters here.
 */
fun Configuration.follow(record: ConfigRecord): Result<Configuration, RevisionGap> =
    if (record.revision == revision.next()) {
        Ok(replaceTouched(record.ticket))
    } else {
        Err(RevisionGap(revision, record.revision))
    }

/** Applies records in order; fails at the first that does not follow. */
fun Configuration.follow(records: List<ConfigRecord>): Result<Configuration, RevisionGap> =
    records.fold(Ok(this) as Result<Configuration, RevisionGap>) { configuration, record ->
        if (configuration.isErr) configuration else configuration.value.follow(record)
    }

private fun Configuration.winner(touched: ConfigObject, ticket: Ticket): SupersededObject? =
    lastTickets[touched]?.takeIf { it >= ticket.number }?.let { SupersededObject(touched, it) }

private fun Configuration.replaceTouched(ticket: Ticket) = Configuration(
    revision = revision.next(),
    workspaces = workspaces - ticket.removed.workspaces.toSet() + ticket.workspaces.associateBy { it.id },
    services = services - ticket.removed.services.toSet() + (ticket.pools + ticket.services).associateBy { it.id },
    rules = rules - ticket.removed.rules.toSet() + ticket.rules.associateBy { it.id },
    lastTickets = lastTickets + ticket.touched.associateWith { ticket.number },
)

/** True where every object that [ticket] touches stands exactly as the ticket left it. */
fun Configuration.standsAsIn(ticket: Ticket): Boolean = ticket.touched.all { lastTickets[it] == ticket.number } &&
    ticket.workspaces.all { workspaces[it.id] == it } &&
    (ticket.pools + ticket.services).all { services[it.id] == it } &&
    ticket.rules.all { rules[it.id] == it } &&
    ticket.removed.objects.none { it in this }
