package io.mimosatrail.protocol

import io.mimosatrail.core.pipeline.StreamMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Carries a stream message between an entry and a stage, or between two stages. */
@Serializable
@SerialName("stream")
class StreamEnvelope(val message: StreamMessage) : PeerMessage

/** Sent periodically by an entry to each stage that its streams use. A stage ends the requests of a silent entry. */
@Serializable
@SerialName("entry-alive")
data object EntryHeartbeat : PeerMessage
