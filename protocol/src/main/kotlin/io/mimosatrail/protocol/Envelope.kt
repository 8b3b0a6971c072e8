package io.mimosatrail.protocol

import io.mimosatrail.core.id.ConfigRevision
import kotlinx.serialization.Serializable

/**
 * One frame between peers.
 *
 * [exchange] pairs a question with its answer and is 0 for a message that expects none; answers carry it with
 * [answer] true. [revision] is the configuration revision of the sender.
 */
@Serializable
data class Envelope(
    val message: PeerMessage,
    val revision: ConfigRevision,
    val exchange: Long = 0,
    val answer: Boolean = false,
)
