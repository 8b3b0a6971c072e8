package io.mimosatrail.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and intervals of a stage.
 *
 * @property maxRequests maximum number of open requests; further ones are refused as busy, without having run here
 * @property retainedBytes maximum state retained for the recovery of next stages, in bytes over all requests
 * @property snapshotTokens number of tokens between two KV snapshots sent to the previous stage, or 0 to send none
 * @property restoreBytes maximum size of a snapshot or restored state that is sent, in bytes, since it has to fit into
 *   one message between processes
 * @property entrySilence a request ends when its entry has sent no heartbeat for this time
 * @property endedRetention how long ended requests are remembered, so that delayed frames don't reopen them
 */
class StageSettings(
    val maxRequests: Int = 512,
    val retainedBytes: Long = 256L * 1024 * 1024,
    val snapshotTokens: Int = 0,
    val restoreBytes: Int = 8 * 1024 * 1024,
    val entrySilence: Duration = 15.seconds,
    val endedRetention: Duration = 60.seconds,
)
