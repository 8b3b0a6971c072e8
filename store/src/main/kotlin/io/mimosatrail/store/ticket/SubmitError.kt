package io.mimosatrail.store.ticket

import io.mimosatrail.core.config.TicketRefusal
import io.mimosatrail.core.id.ConfigRevision

/** A ticket that stands in the log. [repeated] is true where it stood there before this submission. */
data class AcceptedTicket(val revision: ConfigRevision, val repeated: Boolean = false)

/** Why a ticket was not accepted, or why that is not known. */
sealed interface SubmitError {
    /** The ticket is refused as a whole. */
    data class Refused(val refusal: TicketRefusal) : SubmitError

    /** The encoded ticket is over the store's limit for one value. */
    data class TooLarge(val bytes: Int, val limit: Int) : SubmitError

    /** The log could not be read; nothing was written. */
    data class Unreadable(val error: LogError) : SubmitError

    /** The store refused the write; nothing was written. */
    data class Unavailable(val detail: String) : SubmitError

    /** The write may have taken effect. Submitting the same ticket again is harmless. */
    data class Uncertain(val revision: ConfigRevision, val detail: String) : SubmitError

    /** Other submissions kept winning the race; nothing was written. */
    data class Crowded(val attempts: Int) : SubmitError
}
