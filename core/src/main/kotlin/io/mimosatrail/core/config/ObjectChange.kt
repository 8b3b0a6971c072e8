package io.mimosatrail.core.config

import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a ticket changes an object; [SAME] if it sets the state that the object already has. */
@Serializable
enum class ChangeKind(val label: String) {
    @SerialName("add")
    ADD("add"),

    @SerialName("change")
    CHANGE("change"),

    @SerialName("remove")
    REMOVE("remove"),

    @SerialName("same")
    SAME("same"),
}

/**
 * Change of one object by a ticket. [before] and [after] describe its state and are null if it does not exist then.
 * [lastTicket] is the last ticket before this one that set or removed it, or null.
 */
@Serializable
data class ObjectChange(
    val target: ConfigObject,
    val kind: ChangeKind,
    val lastTicket: TicketNumber?,
    val before: String?,
    val after: String?,
)

/** The change that [ticket] would make to each object that it sets or removes. */
fun Configuration.changesOf(ticket: Ticket): List<ObjectChange> {
    val after = Configuration(
        workspaces = ticket.workspaces.associateBy { it.id },
        services = (ticket.pools + ticket.services).associateBy { it.id },
        rules = ticket.rules.associateBy { it.id },
    )
    return ticket.touched.map { target -> changeOf(target, stateOf(target), after.stateOf(target)) }
}

private fun Configuration.changeOf(target: ConfigObject, before: String?, after: String?): ObjectChange {
    val kind = when {
        after == null -> ChangeKind.REMOVE
        before == null -> ChangeKind.ADD
        before == after -> ChangeKind.SAME
        else -> ChangeKind.CHANGE
    }
    return ObjectChange(target, kind, lastTickets[target], before, after)
}

private fun Configuration.stateOf(target: ConfigObject): String? = when (target.kind) {
    ConfigObjectKind.WORKSPACE -> workspaces[WorkspaceId(target.id)]
    ConfigObjectKind.SERVICE -> services[ServiceId(target.id)]
    ConfigObjectKind.RULE -> rules[RuleId(target.id)]
}?.toString()
