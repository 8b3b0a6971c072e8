package io.mimosatrail.core.waiting

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Sum of what was added within the last [window], in slices of a tenth of it; the oldest slice is dropped as a whole.
 * Not thread-safe.
 */
internal class RecentSum(window: Duration) {
    private val slice = window.inWholeNanoseconds / SLICES
    private val sums = LongArray(SLICES)
    private var current = Long.MIN_VALUE

    fun add(amount: Long, now: Moment) {
        advance(now)
        sums[index(current)] += amount
    }

    fun sum(now: Moment): Long {
        advance(now)
        return sums.sum()
    }

    private fun advance(now: Moment) {
        val number = Math.floorDiv(now.nanos, slice)
        if (number <= current) return
        if (current == Long.MIN_VALUE || number - current >= SLICES) {
            sums.fill(0)
        } else {
            for (passed in current + 1..number) sums[index(passed)] = 0
        }
        current = number
    }

    private fun index(number: Long): Int = Math.floorMod(number, SLICES)

    private companion object {
        const val SLICES = 10
    }
}
