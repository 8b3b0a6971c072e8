package io.mimosatrail.bench.config

import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Virtual clock that runs scheduled actions in order of time, and of scheduling for the same time. */
internal class SpreadSimulationClock {
    private class ScheduledAction(val at: Moment, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<ScheduledAction>(compareBy({ it.at.nanos }, { it.order }))
    private var order = 0L

    var now = Moment(0)
        private set

    fun after(delay: Duration, action: () -> Unit) {
        queue += ScheduledAction(now + delay, order++, action)
    }

    /** Runs the actions that are due by [end], inclusive, and sets the clock to [end]. */
    fun runUntil(end: Moment) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }
}
