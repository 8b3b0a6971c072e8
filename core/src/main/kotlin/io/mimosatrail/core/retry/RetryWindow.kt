package io.mimosatrail.core.retry

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** The number of [used] retries of a window and the limit on them. */
data class RetryUsage(val used: Long, val allowed: Double)

/**
 * Sliding-window limit: within any time span of length [window], retries are at most [ratio] of the first attempts plus
 * [slack]. Attempts are counted in slices of a tenth of the window, and first attempts count for up to one slice longer
 * than the window. Not thread-safe.
 */
class RetryWindow(private val ratio: Double, var slack: Double, window: Duration) {
    private val slice = window / SLICES
    private val firstAttempts = LongArray(SLICES + 1)
    private val retries = LongArray(SLICES + 1)
    private var current = 0L

    /** Records a first attempt. */
    fun onFirstAttempt(now: Moment) {
        advance(now)
        firstAttempts[index(current)]++
    }

    /**
     * Takes one retry from the budget, to which [extraSlack] is added for this call, or returns false if none is left
     * beyond the part [reserved] of it, 0 to 1.
     */
    fun tryAcquire(now: Moment, reserved: Double = 0.0, extraSlack: Double = 0.0): Boolean {
        advance(now)
        if (retries.sum() + 1 > (allowed() + extraSlack) * (1 - reserved)) return false
        retries[index(current)]++
        return true
    }

    /** Retries in the current window and the limit on them. */
    fun usage(now: Moment): RetryUsage {
        advance(now)
        return RetryUsage(retries.sum(), allowed())
    }

    private fun allowed(): Double = ratio * firstAttempts.sum() + slack

    private fun advance(now: Moment) {
        val number = now.nanos / slice.inWholeNanoseconds
        val passed = (number - current).coerceAtMost(SLICES + 1L)
        for (step in 1..passed) {
            val cleared = index(number - passed + step)
            firstAttempts[cleared] = 0
            retries[cleared] = 0
        }
        if (number > current) current = number
    }

    private fun index(number: Long): Int = (number % (SLICES + 1)).toInt()

    private companion object {
        /** The arrays hold one slice more, since a span of the window's length can touch [SLICES] + 1 slices. */
        const val SLICES = 10
    }
}
