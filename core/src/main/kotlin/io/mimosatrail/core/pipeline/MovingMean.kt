package io.mimosatrail.core.pipeline

import kotlin.time.Duration

/** Weight of the newest sample. */
private const val NEW_SAMPLE_WEIGHT = 0.2

/** Exponentially weighted moving mean of observed times. Returns the initial value until the first sample. */
internal class MovingMean(initial: Duration) {
    private var hasSample = false

    var value: Duration = initial
        private set

    fun add(sample: Duration) {
        value = if (hasSample) value * (1 - NEW_SAMPLE_WEIGHT) + sample * NEW_SAMPLE_WEIGHT else sample
        hasSample = true
    }
}
