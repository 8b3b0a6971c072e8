package io.mimosatrail.core.limits

import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/** A number of requests and a number of tokens, counted against the two limits of a workspace. */
@Serializable
data class Permits(val requests: Double = 0.0, val tokens: Double = 0.0) {
    operator fun plus(other: Permits) = Permits(requests + other.requests, tokens + other.tokens)

    operator fun minus(other: Permits) = Permits(requests - other.requests, tokens - other.tokens)
}

/**
 * Report of an entry to the home of a workspace, the entry that keeps the workspace's limits for all entries.
 *
 * [spent] is what the entry admitted from its own fair share since the last report, [returned] are lent permits that it
 * gives back unused, and [wanted] is how much it asks to be lent.
 */
@Serializable
data class PermitRequest(
    val workspace: WorkspaceId,
    val spent: Permits = Permits(),
    val returned: Permits = Permits(),
    val wanted: Permits = Permits(),
)

/**
 * Permits that the home lends to an entry. Unused ones expire [PERMIT_LIFETIME] after the last grant, unless the entry
 * returns them before.
 */
@Serializable
data class PermitGrant(val workspace: WorkspaceId, val lent: Permits)
