package io.mimosatrail.core.pipeline

import kotlin.time.Duration

private const val WEIGHT = 0.2

/** Moving mean of observed times. */
internal class MovingMean(initial: Duration) {
    private var seen = false

    var value: Duration = initial
        private set

    fun add(sample: Duration) {
        value = if (seen) value * (1 - WEIGHT) + sample * WEIGHT else sample
        seen = true
    }
}
