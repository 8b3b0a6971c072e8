package io.mimosatrail.bench.model

import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time, then of scheduling. */
internal class EventLoop {
    private class Event(val at: Moment, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var scheduled = 0L

    var now = Moment(0)
        private set

    fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, scheduled++, action)
    }

    fun every(period: Duration, action: () -> Unit) {
        action()
        after(period) { every(period, action) }
    }

    fun runUntil(end: Moment) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }
}
