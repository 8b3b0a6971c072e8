package io.mimosatrail.protocol

import io.mimosatrail.core.id.InstanceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the links between processes.
 *
 * The first of [secrets] proves this process to its peers; any of them is accepted from a peer, which allows rotation.
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
