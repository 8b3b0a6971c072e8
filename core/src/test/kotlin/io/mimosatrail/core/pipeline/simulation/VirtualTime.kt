package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event scheduler: runs events in order of virtual time, and events of the same time as scheduled. */
class VirtualTime {
    private class Event(val at: Moment, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.number })
    private var numbers = 0L

    var now = Moment(0)
        private set

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    fun at(moment: Moment, action: () -> Unit) {
        events += Event(maxOf(moment, now), numbers++, action)
    }

    fun every(period: Duration, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
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
