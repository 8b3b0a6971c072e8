package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber

/** Why a ticket was refused as a whole. */
sealed interface TicketRefusal {
    /** [objects] were already changed by a ticket with the same or a higher number. */
    data class Superseded(val objects: List<SupersededObject>) : TicketRefusal

    /** The ticket, or the configuration that it would result in, is not consistent. */
    data class Invalid(val problems: List<TicketProblem>) : TicketRefusal
}

/** An object of a refused ticket, and the [lastTicket] that changed it. */
data class SupersededObject(val target: ConfigObject, val lastTicket: TicketNumber) {
    override fun toString(): String = "$target is at ticket $lastTicket"
}

/** One problem of a ticket: where it is in the document, and what is wrong or allowed there. */
data class TicketProblem(val path: TicketPath, val detail: String)

/** Position in a ticket document, such as `workspaces[3].keyHashes`. */
data class TicketPath(val list: String, val index: Int? = null, val field: String? = null) {
    override fun toString(): String = list + index?.let { "[$it]" }.orEmpty() + field?.let { ".$it" }.orEmpty()
}

/** Revision [record] of a log record is not the one after [current], the revision in force. */
data class RevisionGap(val current: ConfigRevision, val record: ConfigRevision)
