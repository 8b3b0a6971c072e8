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

/** Holds requests to the limits of their workspaces, which hold over all entries together. */
class Admission(private val host: Host) {
    private val table = PermitTable()
    private val homes = HomeEntries(host)
    private val exchange = PermitExchange(host, homes, table)
    private val refused = host.meters.counter("mimosatrail.admission.refused", "reason", "over-limit")

    /** Begins to borrow permits from homes and to lend those of this entry's workspaces. */
    fun start() {
        exchange.start()
        host.timers.every("admission", CLEAN_PERIOD) { now ->
            val known = host.configuration().workspaces.keys
            synchronized(table) { table.retain(known, now) }
        }
    }

    /** Null where a request of [tokens] tokens is within the limits of [workspace], else the refusal to answer. */
    fun admit(workspace: Workspace, tokens: Int): Refusal? {
        val share = 1.0 / homes.count()
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
        val CLEAN_PERIOD: Duration = 10.seconds
    }
}
