package io.mimosatrail.gateway.forward

import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How late the event loop of this process was recently. While it is late, answers wait to be read, and their absence
 * says nothing about the peers that sent them. Confined to the event loop.
 */
internal class TickIntervals(private val clock: Clock) {
    private val ticks = ArrayDeque<Moment>()

    /** To be called on the event loop every [PERIOD]. */
    fun tick(now: Moment) {
        ticks.addLast(now)
        while (ticks.size > 2 && now - ticks[1] > MEMORY) ticks.removeFirst()
    }

    /** Longest interval between two ticks, or since the last one, that ended after [since]; zero before the first. */
    fun longest(since: Moment): Duration {
        val ends = ticks + clock()
        return ends.zipWithNext { from, to -> if (to > since) to - from else Duration.ZERO }.maxOrNull()
            ?: Duration.ZERO
    }

    companion object {
        /** Interval of [tick] if the process is on time. */
        val PERIOD = 20.milliseconds

        /** Longer than any question to a peer that needs to be judged. */
        private val MEMORY = 2.seconds
    }
}
