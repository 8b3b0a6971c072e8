package io.mimosatrail.cli.ticket

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.mimosatrail.cli.run.ExitCode
import io.mimosatrail.cli.run.InstanceOptions
import io.mimosatrail.cli.run.OutputOption
import io.mimosatrail.cli.run.StoreOptions
import io.mimosatrail.cli.run.fail
import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.store.ticket.AcceptedTicket
import io.mimosatrail.store.ticket.SubmitError
import io.mimosatrail.store.ticket.TicketDocument
import io.mimosatrail.store.ticket.TicketSubmitter
import io.mimosatrail.store.ticket.submissionIdOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A change is expected to be in force at every instance within this time. */
private val ROLLOUT_TIMEOUT = 5.seconds
private val ROLLOUT_POLL_PERIOD = 500.milliseconds

/** An accepted ticket. [rollout] is null unless the command was run with `--wait`. */
@Serializable
private data class SubmittedTicket(
    val ticket: TicketNumber,
    val revision: ConfigRevision,
    val repeated: Boolean,
    @SerialName("spread") val rollout: RolloutStatus?,
) {
    fun describe(): String {
        val outcome = if (repeated) "was accepted before" else "is accepted"
        return listOfNotNull("ticket $ticket $outcome, revision $revision", rollout?.describe()).joinToString("\n")
    }
}

/** Submits a ticket. */
internal class TicketSubmitCommand : CliktCommand(name = "submit") {
    private val file by argument(help = "ticket to submit").path(mustExist = true, canBeDir = false)
    private val author by option(
        "--author",
        envvar = "USER",
        help = "name of the person who submits the ticket",
    ).default("unknown")
    private val wait by option("--wait", help = "wait up to 5 s until the ticket is in force everywhere").flag()
    private val platform by StoreOptions()
    private val instances by InstanceOptions()
    private val output by OutputOption()

    override fun help(context: Context) =
        "Submits a ticket. The same file can safely be submitted again, for example if the outcome is not known."

    override fun run() {
        val instancesUrl = if (wait) instances.required() else null
        val document = readTicket(file)
        val result = platform.withStore { store ->
            TicketSubmitter(store, author).submit(document.ticket, submissionIdOf(document.ticket))
        }
        result.onSuccess { printAccepted(document, it, instancesUrl) }.onFailure { failWith(document, it) }
    }

    private fun printAccepted(document: TicketDocument, accepted: AcceptedTicket, instancesUrl: String?) {
        val rollout = instancesUrl?.let { runBlocking { awaitRollout(accepted.revision, it) } }
        val submitted = SubmittedTicket(document.ticket.number, accepted.revision, accepted.repeated, rollout)
        output.print(this, SubmittedTicket.serializer(), submitted) { it.describe() }
        if (rollout?.isComplete == false) throw ProgramResult(ExitCode.UNAVAILABLE.code)
    }

    private suspend fun awaitRollout(revision: ConfigRevision, instancesUrl: String): RolloutStatus {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val rollout = fetchRolloutStatus(revision, instancesUrl)
            if (rollout.isComplete || start.elapsedNow() > ROLLOUT_TIMEOUT) return rollout
            echo(rollout.summary(), err = true)
            delay(ROLLOUT_POLL_PERIOD)
        }
    }

    private fun failWith(document: TicketDocument, error: SubmitError): Nothing {
        if (error is SubmitError.Refused && error.refusal is TicketRefusal.Invalid) {
            document.failIfAny(file, (error.refusal as TicketRefusal.Invalid).problems)
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
    is SubmitError.TooManyConflicts -> "was not submitted, $attempts other tickets came first; submit it again"
}

private fun TicketRefusal.describe(): String = when (this) {
    is TicketRefusal.Superseded -> objects.joinToString { it.toString() }
    is TicketRefusal.Invalid -> problems.joinToString { "${it.path}: ${it.detail}" }
}
