package io.mimosatrail.core.config

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.id.WorkspaceId

/**
 * The whole configuration in force at [revision]. Immutable.
 *
 * [lastTickets] has the last ticket that set or removed each object, and keeps it after a removal.
 */
data class Configuration(
    val revision: ConfigRevision = ConfigRevision(0),
    val workspaces: Map<WorkspaceId, Workspace> = emptyMap(),
    val services: Map<ServiceId, Service> = emptyMap(),
    val rules: Map<RuleId, RoutingRule> = emptyMap(),
    val lastTickets: Map<ConfigObject, TicketNumber> = emptyMap(),
) {
    private val workspaceByKeyHash: Map<String, Workspace> by lazy {
        workspaces.values.flatMap { workspace -> workspace.keyHashes.map { it to workspace } }.toMap()
    }

    private val rulesByModel: Map<ModelId?, List<RoutingRule>> by lazy {
        rules.values.groupBy { it.model }
    }

    /** The workspace that owns the key with this lower-case hex SHA-256 digest, or null. */
    fun workspaceOf(keyHash: String): Workspace? = workspaceByKeyHash[keyHash]

    /** The rule for a request for [model]: the workspace's own if there is one, else the general one, else null. */
    fun ruleFor(workspace: WorkspaceId, model: ModelId): RoutingRule? = rulesByModel[model].orEmpty().choose(workspace)

    /** The rule for a call of plain service [service]: the workspace's own, else the general one, else null. */
    fun ruleFor(workspace: WorkspaceId, service: ServiceId): RoutingRule? =
        rulesByModel[null].orEmpty().filter { it.service == service }.choose(workspace)

    private fun List<RoutingRule>.choose(workspace: WorkspaceId): RoutingRule? =
        firstOrNull { it.workspace == workspace } ?: firstOrNull { it.workspace == null }
}
