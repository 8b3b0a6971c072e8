package io.mimosatrail.core.pipeline.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Speed of simulated links and engines.
 *
 * A position takes [positionBytes] bytes between stages and [kvBytes] bytes in a KV snapshot. Engine work takes [step]
 * for the first position and [prefillPosition] for each further one.
 */
class VirtualSpeed(
    val latency: Duration = 1.milliseconds,
    val bytesPerSecond: Double = 1e9,
    val positionBytes: Int = 8,
    val kvBytes: Int = 64,
    val step: Duration = 5.milliseconds,
    val prefillPosition: Duration = 100.microseconds,
)

/**
 * Random link faults: the probabilities that a message is dropped, duplicated or reordered.
 *
 * Reordered messages and duplicates are delayed by a random time of up to [jitter].
 */
class VirtualFaults(
    val drop: Double = 0.0,
    val duplicate: Double = 0.0,
    val reorder: Double = 0.0,
    val jitter: Duration = 50.milliseconds,
)
