package io.mimosatrail.core.pipeline.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Speed of links and engines; a position carries [positionBytes] between stages and [kvBytes] in a snapshot. */
class VirtualSpeed(
    val latency: Duration = 1.milliseconds,
    val bytesPerSecond: Double = 1e9,
    val positionBytes: Int = 8,
    val kvBytes: Int = 64,
    val step: Duration = 5.milliseconds,
    val prefillPosition: Duration = 100.microseconds,
)

/** Random faults of links, as probabilities for each message; [jitter] delays some past others. */
class VirtualFaults(
    val drop: Double = 0.0,
    val duplicate: Double = 0.0,
    val reorder: Double = 0.0,
    val jitter: Duration = 50.milliseconds,
)
