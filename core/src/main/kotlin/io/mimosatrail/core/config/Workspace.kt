package io.mimosatrail.core.config

import io.mimosatrail.core.id.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * A workspace: the owner of keys and limits.
 *
 * [keyHashes] are lower-case hex SHA-256 digests of bearer keys. [requestsPerSecond] and [tokensPerSecond] are limits
 * over all entries together. [share] is the weight among workspaces that wait for the same upstream.
 */
@Serializable
data class Workspace(
    val id: WorkspaceId,
    val keyHashes: List<String>,
    val requestsPerSecond: Int = 100,
    val tokensPerSecond: Int = 10_000,
    val share: Int = 1,
    val objectives: Objectives = Objectives(),
)
