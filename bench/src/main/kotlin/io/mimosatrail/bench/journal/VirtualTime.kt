package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallTime
import io.mimosatrail.core.calls.WallTime
import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time. */
internal class VirtualTime {
    private class Planned(val at: Moment, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Planned> { it.at }.thenBy { it.number })
    private var planned = 0L

    var now = Moment(0)
        private set

    /** Both clocks of every process. */
    val reading: CallTime get() = CallTime(now, WallTime(now.nanos / NANOS_PER_MILLI))

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    fun at(moment: Moment, action: () -> Unit) {
        queue += Planned(moment, planned++, action)
    }

    /** Runs everything planned until [end]. */
    fun runUntil(end: Moment) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.remove()
            now = next.at
            next.action()
        }
        now = end
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
