package io.mimosatrail.core.admission

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Settings of a [ConcurrencyLimit]. It is adjusted once a [window] to keep the mean step time at [targetStepTime]. */
data class ConcurrencySettings(
    val minimum: Int = 4,
    val maximum: Int = 256,
    val initial: Int = 32,
    val targetStepTime: Duration = 10.milliseconds,
    val window: Duration = 200.milliseconds,
)

/**
 * Adaptive limit of the number of requests open at an upstream. Each window whose mean step time is above the target
 * cuts it by a tenth; any other window in which the limit was reached raises it by a twentieth. Not thread-safe.
 */
class ConcurrencyLimit(private val settings: ConcurrencySettings = ConcurrencySettings()) {
    private var windowEnd: Moment? = null
    private var sumMicros = 0L
    private var steps = 0
    private var peakOpen = 0

    /** Number of requests that may be open now. */
    var current: Int = settings.initial
        private set

    /** Records one step of the upstream: it took [time], including the wait, while [open] requests were open. */
    fun onStep(time: Duration, open: Int, now: Moment) {
        sumMicros += time.inWholeMicroseconds
        steps++
        peakOpen = maxOf(peakOpen, open)
        val end = windowEnd ?: (now + settings.window).also { windowEnd = it }
        if (now >= end) endWindow(now)
    }

    private fun endWindow(now: Moment) {
        val isSlow = sumMicros / steps > settings.targetStepTime.inWholeMicroseconds
        current = when {
            isSlow -> current - maxOf(1, current / CUT_DIVISOR)
            peakOpen >= current -> current + maxOf(1, current / RAISE_DIVISOR)
            else -> current
        }.coerceIn(settings.minimum, settings.maximum)
        windowEnd = now + settings.window
        sumMicros = 0
        steps = 0
        peakOpen = 0
    }

    private companion object {
        const val CUT_DIVISOR = 10
        const val RAISE_DIVISOR = 20
    }
}
