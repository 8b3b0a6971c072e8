package io.mimosatrail.core.config

import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RuleId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * Sends requests for [model] (or, with [model] null, calls of [service]) to [service] at [priority]; lower runs first.
 *
 * With [workspace] null the rule holds for every workspace that has no rule of its own.
 */
@Serializable
data class RoutingRule(
    val id: RuleId,
    val service: ServiceId,
    val model: ModelId? = null,
    val workspace: WorkspaceId? = null,
    val priority: Int = 10,
)
