package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Content of one frame between peers.
 *
 * [correlationId] is chosen by the sender of a request and repeated in the answer, which has [isAnswer] set. It is 0
 * for a message that expects no answer. [revision] is the configuration revision of the sender.
 */
@Serializable
data class Envelope(
    val message: PeerMessage,
    val revision: ConfigRevision,
    @SerialName("exchange")
    val correlationId: Long = 0,
    @SerialName("answer")
    val isAnswer: Boolean = false,
)
