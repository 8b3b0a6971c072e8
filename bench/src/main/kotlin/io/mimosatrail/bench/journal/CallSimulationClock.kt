package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallTime
import io.mimosatrail.core.calls.WallTime
import io.mimosatrail.core.time.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Virtual clock that runs scheduled actions in order of time, and of scheduling for the same time. */
internal class CallSimulationClock {
    private class ScheduledAction(val at: Moment, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<ScheduledAction> { it.at }.thenBy { it.number })
    private var scheduledCount = 0L

    var now = Moment(0)
        private set

    /** Current monotonic and wall-clock time, the same for every process. */
    val callTime: CallTime get() = CallTime(now, WallTime(now.nanos / NANOS_PER_MILLI))

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    fun at(moment: Moment, action: () -> Unit) {
        queue += ScheduledAction(moment, scheduledCount++, action)
    }

    /** Runs the actions that are due by [end], inclusive, and sets the clock to [end]. */
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
