package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How long lent permits can be used after the last grant. */
val PERMIT_LIFETIME: Duration = 2.seconds

/**
 * Enforces the limits of workspaces at one entry: uses lent permits first, then the entry's fair share of the limit.
 * Not thread-safe.
 *
 * If a workspace's home cannot be reached, the fair shares alone keep all entries together within the limit. What they
 * admit is reported to the home, which lends only the rest.
 */
class PermitTable(private val local: WorkspaceLimits = WorkspaceLimits()) {
    private class Row(var workspace: Workspace) {
        var lent = Permits()
        var lentUntil = Moment(Long.MIN_VALUE)
        var spent = Permits()
        var demand = Permits()
        var isAwaitingGrant = false
        var lastRequest: Moment? = null
        var lastDecision = Moment(Long.MIN_VALUE)
    }

    private val rows = HashMap<WorkspaceId, Row>()

    /** Number of workspaces that this entry holds state for. */
    val size: Int get() = rows.size

    /** Decides on one request of [tokens] tokens. [share] is this entry's fair share of every limit, from 0 to 1. */
    fun admit(workspace: Workspace, tokens: Int, share: Double, now: Moment): LimitDecision {
        val row = rows.getOrPut(workspace.id) { Row(workspace) }
        row.workspace = workspace
        row.lastDecision = now
        val cost = Permits(1.0, tokens.toDouble())
        row.demand += cost
        if (now >= row.lentUntil) row.lent = Permits()
        if (row.lent.requests >= cost.requests && row.lent.tokens >= cost.tokens) {
            row.lent -= cost
            return LimitDecision.Admitted
        }
        val decision = local.admit(workspace, tokens, share, now)
        if (decision == LimitDecision.Admitted) row.spent += cost
        return decision
    }

    /** Requests to send to the homes now. Each is pending until [onGrant] or [onNoAnswer] is called for it. */
    fun takeDueRequests(now: Moment): List<PermitRequest> =
        rows.values.filter { isDue(it, now) }.map { nextRequest(it, now) }

    /** Adds permits that the home has lent. */
    fun onGrant(grant: PermitGrant, now: Moment) {
        val row = rows[grant.workspace] ?: return
        row.isAwaitingGrant = false
        row.lent = (if (now < row.lentUntil) row.lent else Permits()) + grant.lent
        row.lentUntil = now + PERMIT_LIFETIME
    }

    /**
     * Handles [request] having got no answer: what was spent is reported again. If the home did receive the first
     * report, it is charged twice.
     */
    fun onNoAnswer(request: PermitRequest) {
        val row = rows[request.workspace] ?: return
        row.isAwaitingGrant = false
        row.spent += request.spent
    }

    /** Forgets idle workspaces and those that are not in [kept]. */
    fun retain(kept: Set<WorkspaceId>, now: Moment) {
        rows.values.removeIf { it.workspace.id !in kept || now - it.lastDecision > IDLE }
        local.retain(rows.keys)
    }

    private fun isDue(row: Row, now: Moment): Boolean {
        if (row.isAwaitingGrant) return false
        val age = row.lastRequest?.let { now - it } ?: return row.demand.requests > 0
        return age >= REPORT_PERIOD && (row.demand.requests > 0 || row.spent.requests > 0)
    }

    /**
     * Builds a request that brings the lent permits to [HEADROOM] times the demand of a report period, measured since
     * the last request: asks for what is missing, and returns what is held beyond that.
     */
    private fun nextRequest(row: Row, now: Moment): PermitRequest {
        val age = row.lastRequest?.let { (now - it).coerceIn(REPORT_PERIOD, PERMIT_LIFETIME) } ?: REPORT_PERIOD
        val scale = HEADROOM * REPORT_PERIOD.toDouble(DurationUnit.SECONDS) / age.toDouble(DurationUnit.SECONDS)
        val held = if (now < row.lentUntil) row.lent else Permits()
        val wanted = Permits(row.demand.requests * scale, row.demand.tokens * scale)
        val request = PermitRequest(
            row.workspace.id,
            row.spent,
            returned = Permits(excess(held.requests, wanted.requests), excess(held.tokens, wanted.tokens)),
            wanted = Permits(excess(wanted.requests, held.requests), excess(wanted.tokens, held.tokens)),
        )
        row.lent = held - request.returned
        row.spent = Permits()
        row.demand = Permits()
        row.lastRequest = now
        row.isAwaitingGrant = true
        return request
    }

    private fun excess(amount: Double, limit: Double) = (amount - limit).coerceAtLeast(0.0)

    private companion object {
        val REPORT_PERIOD: Duration = 500.milliseconds
        val IDLE: Duration = 60.seconds
        const val HEADROOM = 2.0
    }
}
