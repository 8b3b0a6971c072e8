package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.TicketNumber

/** Why a ticket was refused as a whole. */
sealed interface TicketRefusal {
    /** Objects that already carry the same or a later ticket. */
    data class Superseded(val objects: List<SupersededObject>) : TicketRefusal

    /** What is wrong with the ticket. */
    data class Invalid(val problems: List<TicketProblem>) : TicketRefusal
}

/** An object and the [winner]: the last ticket that touched it. */
data class SupersededObject(val target: ConfigObject, val winner: TicketNumber) {
    override fun toString(): String = "$target is at ticket $winner"
}

/** One fault of a ticket: where in the document, and what is allowed there. */
data class TicketProblem(val path: TicketPath, val detail: String)

/** Position in a ticket document, such as `workspaces[3].keyHashes`. */
data class TicketPath(val list: String, val index: Int? = null, val field: String? = null) {
    override fun toString(): String = list + index?.let { "[$it]" }.orEmpty() + field?.let { ".$it" }.orEmpty()
}

/** A record that does not follow the revision in force. */
data class RevisionGap(val current: ConfigRevision, val record: ConfigRevision)
