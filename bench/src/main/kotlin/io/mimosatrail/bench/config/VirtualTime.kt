package io.mimosatrail.bench.config

import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time. */
internal class VirtualTime {
    private class Due(val at: Moment, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Due>(compareBy({ it.at.nanos }, { it.order }))
    private var order = 0L

    var now = Moment(0)
        private set

    fun after(delay: Duration, action: () -> Unit) {
        queue += Due(now + delay, order++, action)
    }

    /** Runs everything that is due until [end]. */
    fun runUntil(end: Moment) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val due = queue.poll()
            now = due.at
            due.action()
        }
        now = end
    }
}
