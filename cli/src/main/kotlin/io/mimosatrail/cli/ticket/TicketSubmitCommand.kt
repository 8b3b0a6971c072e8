package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.platform.ticket.AcceptedTicket
import io.mimosatrail.platform.ticket.SubmitError
import io.mimosatrail.platform.ticket.TicketDocument
import io.mimosatrail.platform.ticket.TicketSubmitter
import io.mimosatrail.platform.ticket.submissionIdOf

/** Submits a ticket. */
internal class TicketSubmitCommand : CliktCommand(name = "submit") {
    private val file by argument(help = "ticket to submit").path(mustExist = true, canBeDir = false)
    private val author by option("--author", envvar = "USER", help = "who submits").default("unknown")
    private val platform by StoreOptions()

    override fun help(context: Context) =
        "Submits a ticket. Submitting the same file again is harmless, also after a lost answer."

    override fun run() {
        val document = readTicket(file)
        val result = platform.withStore { store ->
            TicketSubmitter(store, author).submit(document.ticket, submissionIdOf(document.ticket))
        }
        result.onSuccess { report(document, it) }.onFailure { refuse(document, it) }
    }

    private fun report(document: TicketDocument, accepted: AcceptedTicket) {
        val how = if (accepted.repeated) "was accepted before" else "is accepted"
        echo("ticket ${document.ticket.number} $how, revision ${accepted.revision}")
    }

    private fun refuse(document: TicketDocument, error: SubmitError): Nothing {
        if (error is SubmitError.Refused && error.refusal is TicketRefusal.Invalid) {
            document.refuse(file, (error.refusal as TicketRefusal.Invalid).problems)
        }
        fail("ticket ${document.ticket.number} ${error.describe()}", error.exitCode)
    }
}

private val SubmitError.exitCode: ExitCode
    get() = if (this is SubmitError.Refused || this is SubmitError.TooLarge) ExitCode.REFUSED else ExitCode.UNAVAILABLE

private fun SubmitError.describe(): String = when (this) {
    is SubmitError.Refused -> "is refused: ${refusal.describe()}"
    is SubmitError.TooLarge -> "is refused: its record has $bytes bytes, more than $limit are not stored"
    is SubmitError.Unreadable -> "was not submitted, the configuration can't be read: $error"
    is SubmitError.Unavailable -> "was not submitted, the store refused the write: $detail"
    is SubmitError.Uncertain -> "may have been accepted as revision $revision ($detail); submit it again to find out"
    is SubmitError.Crowded -> "was not submitted, $attempts other tickets came first; submit it again"
}

private fun TicketRefusal.describe(): String = when (this) {
    is TicketRefusal.Superseded -> objects.joinToString { it.toString() }
    is TicketRefusal.Invalid -> problems.joinToString { "${it.path}: ${it.detail}" }
}
