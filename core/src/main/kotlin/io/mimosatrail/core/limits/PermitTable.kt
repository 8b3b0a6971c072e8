package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How long a lent permit may be used. */
val PERMIT_LIFETIME: Duration = 2.seconds

/**
 * Limits of workspaces at one entry: lent permits first, then the entry's fair share. Not thread-safe.
 *
 * The fair share alone holds the limit over all entries where a home cannot be reached; what it admits is reported to
 * the home, which lends only what is left.
 */
class PermitTable(private val local: WorkspaceLimits = WorkspaceLimits()) {
    private class Row(var workspace: Workspace) {
        var lent = Permits()
        var lentUntil = Moment(Long.MIN_VALUE)
        var spent = Permits()
        var demand = Permits()
        var isAsking = false
        var reported: Moment? = null
        var admittedAt = Moment(Long.MIN_VALUE)
    }

    private val rows = HashMap<WorkspaceId, Row>()

    /** Number of workspaces that this entry keeps state of. */
    val size: Int get() = rows.size

    /** Decides on one request of [tokens] tokens; [share] is this entry's fair share of every limit. */
    fun admit(workspace: Workspace, tokens: Int, share: Double, now: Moment): LimitDecision {
        val row = rows.getOrPut(workspace.id) { Row(workspace) }
        row.workspace = workspace
        row.admittedAt = now
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

    /** Reports that are due now; each counts as asked until [onGrant] or [onNoAnswer]. */
    fun takeDue(now: Moment): List<PermitRequest> = rows.values.filter { isDue(it, now) }.map { take(it, now) }

    /** Takes over what the home has lent. */
    fun onGrant(grant: PermitGrant, now: Moment) {
        val row = rows[grant.workspace] ?: return
        row.isAsking = false
        row.lent = (if (now < row.lentUntil) row.lent else Permits()) + grant.lent
        row.lentUntil = now + PERMIT_LIFETIME
    }

    /** Notes that a report may not have reached the home: it is made again, though it may then count twice. */
    fun onNoAnswer(request: PermitRequest) {
        val row = rows[request.workspace] ?: return
        row.isAsking = false
        row.spent += request.spent
    }

    /** Forgets idle workspaces and those that are not in [kept]. */
    fun retain(kept: Set<WorkspaceId>, now: Moment) {
        rows.values.removeIf { it.workspace.id !in kept || now - it.admittedAt > IDLE }
        local.retain(rows.keys)
    }

    private fun isDue(row: Row, now: Moment): Boolean {
        if (row.isAsking) return false
        val age = row.reported?.let { now - it } ?: return row.demand.requests > 0
        return age >= REPORT_PERIOD && (row.demand.requests > 0 || row.spent.requests > 0)
    }

    /** Asks for twice the demand since the last report, and keeps what is held of it. */
    private fun take(row: Row, now: Moment): PermitRequest {
        val age = row.reported?.let { (now - it).coerceIn(REPORT_PERIOD, PERMIT_LIFETIME) } ?: REPORT_PERIOD
        val scale = HEADROOM * REPORT_PERIOD.toDouble(DurationUnit.SECONDS) / age.toDouble(DurationUnit.SECONDS)
        val held = if (now < row.lentUntil) row.lent else Permits()
        val wanted = Permits(row.demand.requests * scale, row.demand.tokens * scale)
        val request = PermitRequest(
            row.workspace.id,
            row.spent,
            returned = Permits(over(held.requests, wanted.requests), over(held.tokens, wanted.tokens)),
            wanted = Permits(over(wanted.requests, held.requests), over(wanted.tokens, held.tokens)),
        )
        row.lent = held - request.returned
        row.spent = Permits()
        row.demand = Permits()
        row.reported = now
        row.isAsking = true
        return request
    }

    private fun over(amount: Double, limit: Double) = (amount - limit).coerceAtLeast(0.0)

    private companion object {
        val REPORT_PERIOD: Duration = 500.milliseconds
        val IDLE: Duration = 60.seconds
        const val HEADROOM = 2.0
    }
}
