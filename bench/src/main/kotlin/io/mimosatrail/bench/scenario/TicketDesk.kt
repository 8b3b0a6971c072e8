package io.mimosatrail.bench.scenario

import com.github.michaelbull.result.mapBoth
import io.mimosatrail.store.client.HttpStore
import io.mimosatrail.store.ticket.AcceptedTicket
import io.mimosatrail.store.ticket.SubmitError
import io.mimosatrail.store.ticket.TicketSubmitter
import io.mimosatrail.store.ticket.TicketYaml
import io.mimosatrail.store.ticket.submissionIdOf

/** Submits change tickets to the store at [storeUrl], as an operator does. */
class TicketDesk(storeUrl: String) : AutoCloseable {
    private val store = HttpStore(storeUrl)
    private val submitter = TicketSubmitter(store::invoke, "operator")

    /** Submits the ticket written in [text]. */
    suspend fun submit(text: String): Told = TicketYaml.parse(text).mapBoth(
        success = { submitter.submit(it.ticket, submissionIdOf(it.ticket)).mapBoth(::accepted, ::refused) },
        failure = { Told(ToldOutcome.REFUSED, it.toString()) },
    )

    override fun close() = store.close()

    private fun accepted(ticket: AcceptedTicket) = Told(ToldOutcome.ACCEPTED, ticket.toString())

    private fun refused(error: SubmitError): Told = when (error) {
        is SubmitError.Uncertain -> Told(ToldOutcome.UNKNOWN, error.toString())
        is SubmitError.Refused, is SubmitError.TooLarge -> Told(ToldOutcome.REFUSED, error.toString())
        is SubmitError.Unreadable, is SubmitError.Unavailable, is SubmitError.TooManyConflicts ->
            Told(ToldOutcome.NOT_RUN, error.toString())
    }
}
