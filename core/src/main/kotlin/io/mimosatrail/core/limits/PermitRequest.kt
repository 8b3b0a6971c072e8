package io.mimosatrail.core.limits

import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/** Amounts of a workspace's two limits. */
@Serializable
data class Permits(val requests: Double = 0.0, val tokens: Double = 0.0) {
    operator fun plus(other: Permits) = Permits(requests + other.requests, tokens + other.tokens)

    operator fun minus(other: Permits) = Permits(requests - other.requests, tokens - other.tokens)
}

/**
 * What an entry tells the home of a workspace: [spent] of its own local share since the last report, and [returned]
 * unused of what was lent; and how much it [wanted] more.
 */
@Serializable
data class PermitRequest(
    val workspace: WorkspaceId,
    val spent: Permits = Permits(),
    val returned: Permits = Permits(),
    val wanted: Permits = Permits(),
)

/** What the home lends; unused permits are void after [PERMIT_LIFETIME] unless returned before. */
@Serializable
data class PermitGrant(val workspace: WorkspaceId, val lent: Permits)
