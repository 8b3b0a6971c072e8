package io.mimosatrail.core.membership

import kotlinx.serialization.Serializable

/**
 * Load of an upstream as measured by its sidecar, which sends it along with replies and refusals.
 *
 * [waiting] and [running] are numbers of requests. [meanStepMicros] is the recent mean time of one step, in
 * microseconds. [freeKvBytes] is the free part of the KV cache, [Long.MAX_VALUE] if unknown.
 */
@Serializable
data class UpstreamLoad(
    val waiting: Int = 0,
    val running: Int = 0,
    val meanStepMicros: Long = 0,
    val freeKvBytes: Long = Long.MAX_VALUE,
    val draining: Boolean = false,
)
