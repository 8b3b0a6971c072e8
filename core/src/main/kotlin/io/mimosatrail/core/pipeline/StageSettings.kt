package io.mimosatrail.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a stage.
 *
 * A request beyond [maxRequests] is refused as busy; the request has not run at this stage.
 * [retainedBytes] bounds the state kept for the recovery of the next stage, over all requests. A KV snapshot goes to
 * the stage before every [snapshotTokens] tokens (0 for never). State of more than [restoreBytes] is not sent, since
 * it has to fit into one frame between processes. A request ends where its entry is silent for
 * [entrySilence]; ended requests are remembered for [endedMemory] so that late frames don't open them again.
 */
class StageSettings(
    val maxRequests: Int = 512,
    val retainedBytes: Long = 256L * 1024 * 1024,
    val snapshotTokens: Int = 0,
    val restoreBytes: Int = 8 * 1024 * 1024,
    val entrySilence: Duration = 15.seconds,
    val endedMemory: Duration = 60.seconds,
)
