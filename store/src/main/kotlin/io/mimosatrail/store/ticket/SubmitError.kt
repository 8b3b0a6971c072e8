package io.mimosatrail.store.ticket

import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.core.id.ConfigRevision

/** A ticket that is in the log at [revision]. [repeated] is true if an earlier submission put it there. */
data class AcceptedTicket(val revision: ConfigRevision, val repeated: Boolean = false)

/** Reason why a ticket was not accepted, or why it is not known whether it was. */
sealed interface SubmitError {
    /** The ticket is invalid or superseded; nothing was written. */
    data class Refused(val refusal: TicketRefusal) : SubmitError

    /** The encoded record of the ticket has [bytes] bytes, more than the store's [limit] for one value. */
    data class TooLarge(val bytes: Int, val limit: Int) : SubmitError

    /** The configuration log could not be read; nothing was written. */
    data class Unreadable(val error: LogError) : SubmitError

    /** The store did not execute the write; nothing was written. */
    data class Unavailable(val detail: String) : SubmitError

    /** The write may have taken effect. The same ticket can safely be submitted again. */
    data class Uncertain(val revision: ConfigRevision, val detail: String) : SubmitError

    /** In each of [attempts] attempts another ticket took the revision first; nothing was written. */
    data class TooManyConflicts(val attempts: Int) : SubmitError
}
