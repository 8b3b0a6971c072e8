package io.mimosatrail.core.config

import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A numbered change of the configuration. It contains the whole new state of each object that it sets. A ticket is
 * refused if one with the same or a higher number has already changed any of its objects.
 */
@Serializable
data class Ticket(
    @SerialName("ticket") val number: TicketNumber,
    val workspaces: List<Workspace> = emptyList(),
    val pools: List<ModelPool> = emptyList(),
    val services: List<PlainService> = emptyList(),
    val rules: List<RoutingRule> = emptyList(),
    @SerialName("remove") val removed: Removals = Removals(),
) {
    /** Every object that the ticket sets or removes, in the order of the ticket. */
    val touched: List<ConfigObject>
        get() = workspaces.map { it.id.toConfigObject() } +
            (pools + services).map { it.id.toConfigObject() } +
            rules.map { it.id.toConfigObject() } +
            removed.objects
}

/** Objects that a ticket removes. */
@Serializable
data class Removals(
    val workspaces: List<WorkspaceId> = emptyList(),
    val services: List<ServiceId> = emptyList(),
    val rules: List<RuleId> = emptyList(),
) {
    val objects: List<ConfigObject>
        get() = workspaces.map { it.toConfigObject() } +
            services.map { it.toConfigObject() } +
            rules.map { it.toConfigObject() }
}
