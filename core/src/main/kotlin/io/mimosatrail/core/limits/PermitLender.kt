package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lends permits to all entries, for the workspaces whose home is this entry. Not thread-safe.
 *
 * Each workspace has a bucket of requests and one of tokens. Both are charged with what is lent and with what entries
 * spent from their own fair shares, so that over time no more is lent than the limit leaves. They start empty, as an
 * earlier home may just have lent a burst.
 */
class PermitLender {
    private class Buckets(val requests: TokenBucket, val tokens: TokenBucket) {
        var lastUse = Moment(0)
    }

    private val bucketsByWorkspace = HashMap<WorkspaceId, Buckets>()

    /** Number of workspaces that have buckets here. */
    val size: Int get() = bucketsByWorkspace.size

    /** Charges what was spent and lends up to half of what is left, so that other entries get some too. */
    fun lend(request: PermitRequest, workspace: Workspace, now: Moment): PermitGrant {
        val buckets = bucketsByWorkspace.getOrPut(workspace.id) { newBuckets(workspace, now) }
        buckets.lastUse = now
        buckets.requests.resize(workspace.requestsPerSecond.toDouble(), workspace.requestsPerSecond.toDouble(), now)
        buckets.tokens.resize(workspace.tokensPerSecond.toDouble(), workspace.tokensPerSecond.toDouble(), now)
        buckets.requests.settle(request.spent.requests, request.returned.requests)
        buckets.tokens.settle(request.spent.tokens, request.returned.tokens)
        val lent = Permits(
            buckets.requests.takeUpTo(minOf(request.wanted.requests, buckets.requests.level(now) / 2), now),
            buckets.tokens.takeUpTo(minOf(request.wanted.tokens, buckets.tokens.level(now) / 2), now),
        )
        return PermitGrant(workspace.id, lent)
    }

    /** Forgets workspaces without a request for [IDLE]; their buckets would be full by now, or start again empty. */
    fun forgetIdle(now: Moment) {
        bucketsByWorkspace.values.removeIf { now - it.lastUse > IDLE }
    }

    private fun TokenBucket.settle(spent: Double, returned: Double) {
        refund(returned)
        charge(spent)
    }

    private fun newBuckets(workspace: Workspace, now: Moment): Buckets {
        val requests = TokenBucket(workspace.requestsPerSecond.toDouble(), workspace.requestsPerSecond.toDouble(), now)
        val tokens = TokenBucket(workspace.tokensPerSecond.toDouble(), workspace.tokensPerSecond.toDouble(), now)
        requests.charge(workspace.requestsPerSecond.toDouble())
        tokens.charge(workspace.tokensPerSecond.toDouble())
        return Buckets(requests, tokens)
    }

    private companion object {
        val IDLE: Duration = 60.seconds
    }
}
