package io.mimosatrail.daemon.entry.admission

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.limits.LimitDecision
import io.mimosatrail.core.limits.PermitTable
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.host.Host
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Enforces the limits of workspaces, which apply to all entries together. */
class Admission(private val host: Host) {
    private val table = PermitTable()
    private val entries = LiveEntries(host)
    private val exchange = PermitExchange(host, entries, table)
    private val refused = host.meters.counter("mimosatrail.admission.refused", "reason", "over-limit")

    /** Starts borrowing permits from the homes of workspaces and lending permits for the workspaces at home here. */
    fun start() {
        exchange.start()
        host.timers.every("admission", CLEANUP_PERIOD) { now ->
            val configured = host.configuration().workspaces.keys
            synchronized(table) { table.retain(configured, now) }
        }
    }

    /** Null if a request of [tokens] tokens is within the limits of [workspace]; otherwise its refusal. */
    fun admit(workspace: Workspace, tokens: Int): Refusal? {
        val share = 1.0 / entries.count()
        val decision = synchronized(table) { table.admit(workspace, tokens, share, host.clock()) }
        if (decision !is LimitDecision.OverLimit) return null
        refused.increment()
        return decision.toRefusal(workspace)
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
        val CLEANUP_PERIOD: Duration = 10.seconds
    }
}
