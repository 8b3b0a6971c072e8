package io.mimosatrail.gateway

import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import kotlin.time.Duration.Companion.milliseconds

/** Logs when the event loop was held up: requests were read and answers passed on that much later. */
internal class LoopWatch(private val inFlight: () -> Int) {
    private var last: Moment? = null

    /** Notes that the loop runs its timers at [now]. */
    fun tick(now: Moment) {
        val gap = last?.let { now - it }
        last = now
        if (gap != null && gap > LATE) logProblem("gateway", "loop-late", "gap" to gap, "in-flight" to inFlight())
    }

    private companion object {
        /** Several ticks; callers notice delays of this size. */
        val LATE = 150.milliseconds
    }
}
