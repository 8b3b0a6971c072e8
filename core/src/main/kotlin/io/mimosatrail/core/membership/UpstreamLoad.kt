package io.mimosatrail.core.membership

import kotlinx.serialization.Serializable

/**
 * Load of an upstream as its sidecar sees it, carried on replies and refusals.
 *
 * [waiting] and [running] count requests; [meanStepMicros] is the recent mean time of one step in microseconds.
 */
@Serializable
data class UpstreamLoad(
    val waiting: Int = 0,
    val running: Int = 0,
    val meanStepMicros: Long = 0,
    val freeKvBytes: Long = Long.MAX_VALUE,
    val draining: Boolean = false,
)
