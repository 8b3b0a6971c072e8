package io.mimosatrail.core.admission

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Bounds of a [ConcurrencyLimit], and the step time that it keeps to. */
data class ConcurrencySettings(
    val least: Int = 4,
    val most: Int = 256,
    val initial: Int = 32,
    val targetStep: Duration = 10.milliseconds,
    val window: Duration = 200.milliseconds,
)

/**
 * Number of requests that may be open at an upstream: raised by steps while all of it is used and steps are fast,
 * cut by a tenth where the mean step of a window is over the target. Not thread-safe.
 */
class ConcurrencyLimit(private val settings: ConcurrencySettings = ConcurrencySettings()) {
    private var windowEnd: Moment? = null
    private var sumMicros = 0L
    private var steps = 0
    private var mostOpen = 0

    /** Requests that may be open now. */
    var current: Int = settings.initial
        private set

    /** Notes one step that took [time], waiting included, with [open] requests open. */
    fun onStep(time: Duration, open: Int, now: Moment) {
        sumMicros += time.inWholeMicroseconds
        steps++
        mostOpen = maxOf(mostOpen, open)
        val end = windowEnd ?: (now + settings.window).also { windowEnd = it }
        if (now >= end) endWindow(now)
    }

    private fun endWindow(now: Moment) {
        val isSlow = sumMicros / steps > settings.targetStep.inWholeMicroseconds
        current = when {
            isSlow -> current - maxOf(1, current / CUT_DIVISOR)
            mostOpen >= current -> current + maxOf(1, current / RAISE_DIVISOR)
            else -> current
        }.coerceIn(settings.least, settings.most)
        windowEnd = now + settings.window
        sumMicros = 0
        steps = 0
        mostOpen = 0
    }

    private companion object {
        const val CUT_DIVISOR = 10
        const val RAISE_DIVISOR = 20
    }
}
