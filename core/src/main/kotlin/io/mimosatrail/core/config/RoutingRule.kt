package io.mimosatrail.core.config

import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * Routes requests for [model] to [service] at [priority]; a lower priority runs first. If [model] is null, the rule
 * applies to calls of plain service [service].
 *
 * If [workspace] is null, the rule applies to every workspace that has no rule of its own.
 */
@Serializable
data class RoutingRule(
    val id: RuleId,
    val service: ServiceId,
    val model: ModelId? = null,
    val workspace: WorkspaceId? = null,
    val priority: Int = 10,
)
