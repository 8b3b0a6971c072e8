package io.mimosatrail.protocol

import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the connections between processes.
 *
 * This process authenticates itself with the first of [secrets] and accepts any of them from a peer, so that secrets
 * can be rotated. [queueFrames] is the capacity of the send queue of each connection.
 */
class PeerSettings(
    val instance: InstanceId,
    val host: String,
    val port: Int,
    val secrets: List<String>,
    val connectTimeout: Duration = 2.seconds,
    val maxFrameBytes: Int = 16 * 1024 * 1024,
    val queueFrames: Int = 4_096,
)
