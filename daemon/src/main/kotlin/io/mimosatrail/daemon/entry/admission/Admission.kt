package io.mimosatrail.daemon.entry.admission

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.limits.LimitDecision
import io.mimosatrail.core.limits.WorkspaceLimits
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.host.Host
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Holds requests to the limits of their workspaces at this entry. */
class Admission(private val host: Host) {
    private val limits = WorkspaceLimits()
    private val refused = host.meters.counter("mimosatrail.admission.refused", "reason", "over-limit")

    /** Begins to forget workspaces that are no longer configured. */
    fun start() {
        host.timers.every("admission", CLEAN_PERIOD) { clean() }
    }

    /** Null where a request of [tokens] tokens is within the limits of [workspace], else the refusal to answer. */
    fun admit(workspace: Workspace, tokens: Int): Refusal? {
        val decision = synchronized(limits) { limits.admit(workspace, tokens, 1.0 / entries(), host.clock()) }
        if (decision !is LimitDecision.OverLimit) return null
        refused.increment()
        return decision.toRefusal(workspace)
    }

    private fun entries(): Int = host.instances()
        .count { it.role == InstanceRole.ENTRY && it.state == InstanceState.LIVE }
        .coerceAtLeast(1)

    private fun clean() {
        val known = host.configuration().workspaces.keys
        synchronized(limits) { limits.retain(known) }
    }

    private fun LimitDecision.OverLimit.toRefusal(workspace: Workspace) = Refusal(
        outcome = Outcome.NOT_RUN,
        reason = RefusalReason.OVER_LIMIT,
        step = Step.ADMIT,
        peer = host.self.id,
        detail = "workspace ${workspace.id} is over its limit of ${limit.name.lowercase()} a second",
        retryAfterMillis = retryAfter?.inWholeMilliseconds?.coerceAtLeast(1),
    )

    private companion object {
        val CLEAN_PERIOD: Duration = 10.seconds
    }
}
