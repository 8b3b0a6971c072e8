package io.mimosatrail.gateway

import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import kotlin.time.Duration.Companion.milliseconds

/** Logs when the event loop was blocked, which delays all requests and answers by the same time. */
internal class EventLoopMonitor(private val inFlight: () -> Int) {
    private var last: Moment? = null

    /** Called by a timer on the event loop. */
    fun tick(now: Moment) {
        val gap = last?.let { now - it }
        last = now
        if (gap != null && gap > MAX_GAP) logProblem("gateway", "loop-late", "gap" to gap, "in-flight" to inFlight())
    }

    private companion object {
        /** Several timer periods; callers notice delays of this size. */
        val MAX_GAP = 150.milliseconds
    }
}
