package io.mimosatrail.protocol

import io.mimosatrail.core.pipeline.StreamMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Carries a message of a stream between an entry and a stage or between stages. */
@Serializable
@SerialName("stream")
class StreamEnvelope(val message: StreamMessage) : PeerMessage

/** Tells a stage that the entry which sends it still serves its streams. */
@Serializable
@SerialName("entry-alive")
data object EntryAlive : PeerMessage
