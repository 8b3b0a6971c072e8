package io.mimosatrail.core.pipeline

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Bounds how many streams leave slow stages in each [period], so that overload does not add prefill work. */
internal class SlowStageBudget(private val period: Duration, private val streamsPerMove: Int) {
    private var startedAt: Moment? = null
    private var moves = 0

    /** True where one of [streams] open streams may move now. */
    fun take(streams: Int, now: Moment): Boolean {
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
