package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Whether a request is within its workspace's limits. */
sealed interface LimitDecision {
    data object Admitted : LimitDecision

    /** Over [limit]; [retryAfter] is null where the request can never be within it. */
    data class OverLimit(val limit: LimitKind, val retryAfter: Duration?) : LimitDecision
}

/** The limits of a workspace. */
enum class LimitKind { REQUESTS, TOKENS }

/** Local buckets of each workspace that has called. Not thread-safe. */
class WorkspaceLimits(private val burstPeriod: Duration = 1.seconds) {
    private class Row(val requests: TokenBucket, val tokens: TokenBucket)

    private val rows = HashMap<WorkspaceId, Row>()

    /** Takes one request of [tokens] tokens from the buckets of [workspace], whose limits apply times [share]. */
    fun admit(workspace: Workspace, tokens: Int, share: Double, now: Moment): LimitDecision {
        val requests = workspace.requestsPerSecond * share
        val tokenRate = workspace.tokensPerSecond * share
        val row = rows.getOrPut(workspace.id) { Row(newBucket(requests, now), newBucket(tokenRate, now)) }
        row.requests.fit(requests, now)
        row.tokens.fit(tokenRate, now)
        if (!row.requests.take(1.0, now)) return overLimit(LimitKind.REQUESTS, row.requests, 1.0, now)
        if (row.tokens.take(tokens.toDouble(), now)) return LimitDecision.Admitted
        row.requests.giveBack(1.0)
        return overLimit(LimitKind.TOKENS, row.tokens, tokens.toDouble(), now)
    }

    /** Forgets workspaces that are not in [kept]. */
    fun retain(kept: Set<WorkspaceId>) {
        rows.keys.retainAll(kept)
    }

    private fun newBucket(rate: Double, now: Moment) = TokenBucket(rate, burst(rate), now)

    private fun TokenBucket.fit(rate: Double, now: Moment) {
        if (rate != ratePerSecond) resize(rate, burst(rate), now)
    }

    /** At least one unit passes at once at any rate but zero. */
    private fun burst(rate: Double): Double =
        if (rate == 0.0) 0.0 else maxOf(rate * burstPeriod.toDouble(DurationUnit.SECONDS), 1.0)

    private fun overLimit(kind: LimitKind, bucket: TokenBucket, amount: Double, now: Moment): LimitDecision {
        val wait = bucket.timeUntil(amount, now)
        return LimitDecision.OverLimit(kind, wait.takeIf { it.isFinite() })
    }
}
