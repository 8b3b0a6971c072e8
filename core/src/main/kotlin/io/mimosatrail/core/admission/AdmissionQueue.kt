package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment
import java.util.TreeMap
import kotlin.time.Duration

/**
 * Bounded queue of one upstream, ordered by priority, then fairly between workspaces, then by deadline. Not
 * thread-safe.
 *
 * [predictTime] predicts how long the upstream needs for work of a cost. All queued work leaves the queue exactly once:
 * through [next], [expire] or [remove], or displaced by [offer].
 */
class AdmissionQueue(private val capacity: Int, private val predictTime: (cost: Double) -> Duration) {
    private val classes = TreeMap<Int, PriorityClass>()

    /** Number of requests that wait. */
    var size: Int = 0
        private set

    /** Queues [work], or decides at once that it must be refused. */
    fun offer(work: QueuedWork, now: Moment): AdmissionDecision {
        val wait = predictedWait(work)
        if (now + wait > work.startBy) return AdmissionDecision.TooLate(wait)
        if (size < capacity) return AdmissionDecision.Queued().also { add(work) }
        val displaced = displace(work) ?: return AdmissionDecision.Busy(wait)
        add(work)
        return AdmissionDecision.Queued(displaced)
    }

    /** Removes and returns the work to run next, or null if none waits. Call [expire] first, as this does not check. */
    fun next(): QueuedWork? {
        val work = classes.firstEntry()?.value?.takeNext() ?: return null
        onRemoved(1)
        return work
    }

    /** Removes and returns all work that has expired. */
    fun expire(now: Moment): List<QueuedWork> = removeWhere { it.expires < now }

    /** Removes the work of [request], whose caller has disconnected. Null if it does not wait here. */
    fun remove(request: RequestId): QueuedWork? = removeWhere { it.request == request }.firstOrNull()

    /** How long [work] would wait if it were queued now, from the cost of the work that would run before it. */
    fun predictedWait(work: QueuedWork): Duration {
        val higherPriority = classes.headMap(work.priority).values.sumOf { it.cost }
        val samePriority = classes[work.priority]?.costAhead(work.workspace, maxOf(1, work.share)) ?: 0.0
        return predictTime(higherPriority + samePriority)
    }

    private fun displace(work: QueuedWork): QueuedWork? {
        val (priority, lowest) = classes.lastEntry() ?: return null
        val mayDisplace = when {
            work.priority < priority -> true
            work.priority > priority -> false
            else -> lowest.backlog(work.workspace, maxOf(1, work.share), work.cost) < lowest.largestBacklog()
        }
        if (!mayDisplace) return null
        return lowest.takeLast()?.also { onRemoved(1) }
    }

    private fun add(work: QueuedWork) {
        classes.getOrPut(work.priority) { PriorityClass() }.add(work)
        size++
        check(size <= capacity) { "queue holds $size of at most $capacity" }
    }

    private fun removeWhere(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val removed = classes.values.flatMap { it.remove(matches) }
        onRemoved(removed.size)
        return removed
    }

    private fun onRemoved(count: Int) {
        size -= count
        classes.values.removeIf { it.isEmpty }
    }
}
