package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the configuration changes after revision [after] from a peer; answered with [ConfigState]. */
@Serializable
@SerialName("config-fetch")
data class ConfigFetch(val after: ConfigRevision) : PeerMessage

/**
 * Configuration of the sender at [revision]: the encoded [records] after the requested revision, or the encoded
 * [shards] of the whole configuration if the sender no longer has all of those records. Both are empty if the sender
 * has nothing newer than the requested revision.
 */
@Serializable
@SerialName("config-state")
class ConfigState(
    val revision: ConfigRevision,
    val records: List<ByteArray> = emptyList(),
    val shards: List<ByteArray> = emptyList(),
) : PeerMessage
