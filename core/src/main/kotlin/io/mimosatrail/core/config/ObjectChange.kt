package io.mimosatrail.core.config

import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happens to an object. */
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

/** What a ticket does to one object; [before] and [after] describe its state, null where it is absent. */
@Serializable
data class ObjectChange(
    val target: ConfigObject,
    val kind: ChangeKind,
    val lastTicket: TicketNumber?,
    val before: String?,
    val after: String?,
)

/** What [ticket] would do to each object it touches. */
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
