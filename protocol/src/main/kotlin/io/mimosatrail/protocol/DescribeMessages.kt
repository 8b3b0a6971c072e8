package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.membership.UpstreamDescription
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a sidecar for its upstream; answered by [Described]. */
@Serializable
@SerialName("describe")
data object Describe : PeerMessage

/** What the sidecar says of its upstream now. */
@Serializable
@SerialName("described")
data class Described(val upstream: UpstreamDescription) : PeerMessage

/** First message each way on a connection; proves the shared secret. */
@Serializable
@SerialName("hello")
data class Hello(val instance: String, val version: Int, val nonce: ByteArray, val proof: ByteArray = ByteArray(0)) :
    PeerMessage

/** Tells the peer's configuration revision without other content. */
@Serializable
@SerialName("revision")
data class RevisionNotice(val revision: ConfigRevision) : PeerMessage
