package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a peer for the configuration that follows [after]; answered by [ConfigState]. */
@Serializable
@SerialName("config-fetch")
data class ConfigFetch(val after: ConfigRevision) : PeerMessage

/**
 * What the peer has in force: the encoded [records] that follow the asked revision up to [revision], or where it no
 * longer keeps all of those, the encoded [shards] of the whole at [revision].
 */
@Serializable
@SerialName("config-state")
class ConfigState(
    val revision: ConfigRevision,
    val records: List<ByteArray> = emptyList(),
    val shards: List<ByteArray> = emptyList(),
) : PeerMessage
