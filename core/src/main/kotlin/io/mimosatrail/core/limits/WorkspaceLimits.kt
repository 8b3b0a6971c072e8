package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Whether a request is within the limits of its workspace. */
sealed interface LimitDecision {
    data object Admitted : LimitDecision

    /** The request exceeds [limit]. [retryAfter] is null if waiting does not help, as with a limit of zero. */
    data class OverLimit(val limit: LimitKind, val retryAfter: Duration?) : LimitDecision
}

/** The limits of a workspace: requests per second and tokens per second. */
enum class LimitKind { REQUESTS, TOKENS }

/**
 * Enforces each workspace's limits within this process, with bursts of up to [burstPeriod] at the full rate. Not
 * thread-safe.
 */
class WorkspaceLimits(private val burstPeriod: Duration = 1.seconds) {
    private class Buckets(val requests: TokenBucket, val tokens: TokenBucket)

    private val bucketsByWorkspace = HashMap<WorkspaceId, Buckets>()

    /** Decides on one request of [tokens] tokens, with the limits of [workspace] multiplied by [share]. */
    fun admit(workspace: Workspace, tokens: Int, share: Double, now: Moment): LimitDecision {
        val requests = workspace.requestsPerSecond * share
        val tokenRate = workspace.tokensPerSecond * share
        val buckets = bucketsByWorkspace.getOrPut(workspace.id) {
            Buckets(newBucket(requests, now), newBucket(tokenRate, now))
        }
        buckets.requests.resizeTo(requests, now)
        buckets.tokens.resizeTo(tokenRate, now)
        if (!buckets.requests.tryTake(1.0, now)) return overLimit(LimitKind.REQUESTS, buckets.requests, 1.0, now)
        if (buckets.tokens.tryTake(tokens.toDouble(), now)) return LimitDecision.Admitted
        buckets.requests.refund(1.0)
        return overLimit(LimitKind.TOKENS, buckets.tokens, tokens.toDouble(), now)
    }

    /** Forgets workspaces that are not in [kept]. */
    fun retain(kept: Set<WorkspaceId>) {
        bucketsByWorkspace.keys.retainAll(kept)
    }

    private fun newBucket(rate: Double, now: Moment) = TokenBucket(rate, burst(rate), now)

    private fun TokenBucket.resizeTo(rate: Double, now: Moment) {
        if (rate != ratePerSecond) resize(rate, burst(rate), now)
    }

    /** Burst at [rate]: at least one unit, so that a low rate still admits single requests; none at a rate of zero. */
    private fun burst(rate: Double): Double =
        if (rate == 0.0) 0.0 else maxOf(rate * burstPeriod.toDouble(DurationUnit.SECONDS), 1.0)

    private fun overLimit(kind: LimitKind, bucket: TokenBucket, amount: Double, now: Moment): LimitDecision {
        val wait = bucket.timeUntil(amount, now)
        return LimitDecision.OverLimit(kind, wait.takeIf { it.isFinite() })
    }
}
