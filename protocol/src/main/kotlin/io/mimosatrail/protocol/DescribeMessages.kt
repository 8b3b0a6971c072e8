package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.membership.UpstreamDescription
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the description of a sidecar's upstream; answered with [Described]. */
@Serializable
@SerialName("describe")
data object Describe : PeerMessage

/** The sidecar's current description of its upstream. */
@Serializable
@SerialName("described")
data class Described(val upstream: UpstreamDescription) : PeerMessage

/**
 * Handshake message, sent first in each direction of a connection. [proof] proves knowledge of the shared secret; it is
 * empty in the first hello of the client.
 */
@Serializable
@SerialName("hello")
data class Hello(val instance: String, val version: Int, val nonce: ByteArray, val proof: ByteArray = ByteArray(0)) :
    PeerMessage

/** Announces the configuration revision of the sender. */
@Serializable
@SerialName("revision")
data class RevisionNotice(val revision: ConfigRevision) : PeerMessage
