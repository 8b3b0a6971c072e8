package io.mimosatrail.cli.ticket

import com.github.michaelbull.result.getOrElse
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.TicketProblem
import io.mimosatrail.core.config.problems
import io.mimosatrail.store.ticket.MAX_TICKET_BYTES
import io.mimosatrail.store.ticket.TicketDocument
import io.mimosatrail.store.ticket.TicketYaml
import io.mimosatrail.store.ticket.locate
import java.nio.file.Files
import java.nio.file.Path

/** Reads and checks the ticket in [file]. Ends the command with the problems and their positions if there are any. */
internal fun readTicket(file: Path): TicketDocument {
    val size = Files.size(file)
    if (size > MAX_TICKET_BYTES) {
        fail("$file: the ticket has $size bytes, more than $MAX_TICKET_BYTES are refused", ExitCode.REFUSED)
    }
    val document = TicketYaml.parse(Files.readString(file)).getOrElse { error ->
        fail("$file:${error.line}:${error.column}: ${error.detail}", ExitCode.REFUSED)
    }
    document.failIfAny(file, document.ticket.problems())
    return document
}

/** Ends the command if there are any [problems]. */
internal fun TicketDocument.failIfAny(file: Path, problems: List<TicketProblem>) {
    if (problems.isNotEmpty()) fail(describe(file, problems), ExitCode.REFUSED)
}

private fun TicketDocument.describe(file: Path, problems: List<TicketProblem>): String = problems.map { locate(it) }
    .sortedWith(compareBy({ it.line }, { it.column }))
    .joinToString("\n") { "$file:${it.line}:${it.column}: ${it.path}: ${it.detail}" }
