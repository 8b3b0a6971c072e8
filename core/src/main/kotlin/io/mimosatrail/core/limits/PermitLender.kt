package io.mimosatrail.core.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lends the permits of workspaces whose home is this entry. Not thread-safe.
 *
 * All that entries spend is charged to one bucket a workspace, so over time no more is lent than the limit leaves. A
 * bucket starts empty, as an earlier home may just have lent a burst.
 */
class PermitLender {
    private class Row(val requests: TokenBucket, val tokens: TokenBucket) {
        var used = Moment(0)
    }

    private val rows = HashMap<WorkspaceId, Row>()

    /** Number of workspaces that have a bucket here. */
    val size: Int get() = rows.size

    /** Charges what was spent and lends up to half of what is left, so that other entries get some too. */
    fun lend(request: PermitRequest, workspace: Workspace, now: Moment): PermitGrant {
        val row = rows.getOrPut(workspace.id) { newRow(workspace, now) }
        row.used = now
        row.requests.resize(workspace.requestsPerSecond.toDouble(), workspace.requestsPerSecond.toDouble(), now)
        row.tokens.resize(workspace.tokensPerSecond.toDouble(), workspace.tokensPerSecond.toDouble(), now)
        row.requests.settle(request.spent.requests, request.returned.requests)
        row.tokens.settle(request.spent.tokens, request.returned.tokens)
        val lent = Permits(
            row.requests.takeUpTo(minOf(request.wanted.requests, row.requests.level(now) / 2), now),
            row.tokens.takeUpTo(minOf(request.wanted.tokens, row.tokens.level(now) / 2), now),
        )
        return PermitGrant(workspace.id, lent)
    }

    /** Forgets workspaces that have not asked for a while; their buckets would be full or start anew. */
    fun forgetIdle(now: Moment) {
        rows.values.removeIf { now - it.used > IDLE }
    }

    private fun TokenBucket.settle(spent: Double, returned: Double) {
        giveBack(returned)
        charge(spent)
    }

    private fun newRow(workspace: Workspace, now: Moment): Row {
        val requests = TokenBucket(workspace.requestsPerSecond.toDouble(), workspace.requestsPerSecond.toDouble(), now)
        val tokens = TokenBucket(workspace.tokensPerSecond.toDouble(), workspace.tokensPerSecond.toDouble(), now)
        requests.charge(workspace.requestsPerSecond.toDouble())
        tokens.charge(workspace.tokensPerSecond.toDouble())
        return Row(requests, tokens)
    }

    private companion object {
        val IDLE: Duration = 60.seconds
    }
}
