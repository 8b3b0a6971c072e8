package io.mimosatrail.core.config

import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/** A numbered change that carries the whole new state of each object it touches. */
@Serializable
data class Ticket(
    val number: TicketNumber,
    val workspaces: List<Workspace> = emptyList(),
    val pools: List<ModelPool> = emptyList(),
    val services: List<PlainService> = emptyList(),
    val rules: List<RoutingRule> = emptyList(),
    val removed: Removals = Removals(),
)

/** Objects that a ticket removes. */
@Serializable
data class Removals(
    val workspaces: List<WorkspaceId> = emptyList(),
    val services: List<ServiceId> = emptyList(),
    val rules: List<RuleId> = emptyList(),
)
