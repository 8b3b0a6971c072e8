package io.mimosatrail.core.retry

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Bounds retries within any span of [window] to [ratio] of the first attempts in that span, and [slack] more. Counts
 * are kept in [SLICES] slices. Not thread-safe.
 */
class RetryWindow(private val ratio: Double, var slack: Double, window: Duration) {
    private val slice = window / SLICES
    private val firsts = LongArray(SLICES + 1)
    private val retries = LongArray(SLICES + 1)
    private var current = 0L

    /** Notes a first attempt. */
    fun onFirstAttempt(now: Moment) {
        advance(now)
        firsts[index(current)]++
    }

    /** Takes one retry, or answers false where none is left. */
    fun take(now: Moment): Boolean {
        advance(now)
        if (retries.sum() + 1 > ratio * firsts.sum() + slack) return false
        retries[index(current)]++
        return true
    }

    private fun advance(now: Moment) {
        val number = now.nanos / slice.inWholeNanoseconds
        val passed = (number - current).coerceAtMost(SLICES + 1L)
        for (step in 1..passed) {
            val cleared = index(number - passed + step)
            firsts[cleared] = 0
            retries[cleared] = 0
        }
        if (number > current) current = number
    }

    private fun index(number: Long): Int = (number % (SLICES + 1)).toInt()

    private companion object {
        /** One slice more than the window holds is kept, so that no span of the window's length is exceeded. */
        const val SLICES = 10
    }
}
