package io.mimosatrail.bench.scenario

import com.github.michaelbull.result.mapBoth
import io.mimosatrail.store.client.HttpStore
import io.mimosatrail.store.ticket.AcceptedTicket
import io.mimosatrail.store.ticket.SubmitError
import io.mimosatrail.store.ticket.TicketSubmitter
import io.mimosatrail.store.ticket.TicketYaml
import io.mimosatrail.store.ticket.submissionIdOf

/** Submits change tickets to the store at [storeUrl], as an operator does. */
class TicketClient(storeUrl: String) : AutoCloseable {
    private val store = HttpStore(storeUrl)
    private val submitter = TicketSubmitter(store::invoke, "operator")

    /** Submits the ticket given as YAML in [text]. */
    suspend fun submit(text: String): ObservedResult = TicketYaml.parse(text).mapBoth(
        success = { submitter.submit(it.ticket, submissionIdOf(it.ticket)).mapBoth(::accepted, ::notAccepted) },
        failure = { ObservedResult(ObservedOutcome.REFUSED, it.toString()) },
    )

    override fun close() = store.close()

    private fun accepted(ticket: AcceptedTicket) = ObservedResult(ObservedOutcome.ACCEPTED, ticket.toString())

    private fun notAccepted(error: SubmitError): ObservedResult = when (error) {
        is SubmitError.Uncertain -> ObservedResult(ObservedOutcome.UNKNOWN, error.toString())
        is SubmitError.Refused, is SubmitError.TooLarge -> ObservedResult(ObservedOutcome.REFUSED, error.toString())
        is SubmitError.Unreadable, is SubmitError.Unavailable, is SubmitError.TooManyConflicts ->
            ObservedResult(ObservedOutcome.NOT_RUN, error.toString())
    }
}
