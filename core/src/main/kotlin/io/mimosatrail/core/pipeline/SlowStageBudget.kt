package io.mimosatrail.core.pipeline

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Limits how many streams move away from slow stages, since each move adds prefill work and would worsen an overload.
 *
 * Each [period] permits one move, plus one for every [streamsPerMove] open streams.
 */
internal class SlowStageBudget(private val period: Duration, private val streamsPerMove: Int) {
    private var startedAt: Moment? = null
    private var moves = 0

    /** Uses one move if the budget allows it at [streams] open streams; returns false otherwise. */
    fun tryAcquire(streams: Int, now: Moment): Boolean {
        val start = startedAt
        if (start == null || now - start >= period) {
            startedAt = now
            moves = 0
        }
        if (moves > streams / streamsPerMove) return false
        moves++
        return true
    }
}
