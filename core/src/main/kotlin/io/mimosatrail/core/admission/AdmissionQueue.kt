package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment
import java.util.TreeMap
import kotlin.time.Duration

/**
 * Bounded queue of one upstream: by priority, fair between workspaces, then by deadline. Not thread-safe.
 *
 * [timeFor] predicts how long the upstream needs for a cost. Every work that was queued leaves exactly once: from
 * [next], from [expire], from [remove], or displaced by a decision of [offer].
 */
class AdmissionQueue(private val capacity: Int, private val timeFor: (cost: Double) -> Duration) {
    private val classes = TreeMap<Int, PriorityClass>()

    /** Number of works that wait. */
    var size: Int = 0
        private set

    /** Decides on [work] at once: it waits, or is refused without having run. */
    fun offer(work: QueuedWork, now: Moment): AdmissionDecision {
        val wait = predictedWait(work)
        if (now + wait > work.startBy) return AdmissionDecision.TooLate(wait)
        if (size < capacity) return AdmissionDecision.Queued().also { add(work) }
        val displaced = displace(work) ?: return AdmissionDecision.Busy(wait)
        add(work)
        return AdmissionDecision.Queued(displaced)
    }

    /** Takes the work to run now, or null. Call [expire] before, so that none is run too late. */
    fun next(): QueuedWork? {
        val work = classes.firstEntry()?.value?.takeNext() ?: return null
        removed(1)
        return work
    }

    /** Takes out all work that has expired. */
    fun expire(now: Moment): List<QueuedWork> = removeWhere { it.expires < now }

    /** Takes out the work of [request], whose caller has left. */
    fun remove(request: RequestId): QueuedWork? = removeWhere { it.request == request }.firstOrNull()

    /** Time that [work] would wait, from what runs before it. */
    fun predictedWait(work: QueuedWork): Duration {
        val before = classes.headMap(work.priority).values.sumOf { it.cost }
        val beside = classes[work.priority]?.costAhead(work.workspace, maxOf(1, work.share)) ?: 0.0
        return timeFor(before + beside)
    }

    private fun displace(work: QueuedWork): QueuedWork? {
        val (priority, lowest) = classes.lastEntry() ?: return null
        val goesBefore = when {
            work.priority < priority -> true
            work.priority > priority -> false
            else -> lowest.backlog(work.workspace, maxOf(1, work.share), work.cost) < lowest.largestBacklog()
        }
        if (!goesBefore) return null
        return lowest.takeLast()?.also { removed(1) }
    }

    private fun add(work: QueuedWork) {
        classes.getOrPut(work.priority) { PriorityClass() }.add(work)
        size++
        check(size <= capacity) { "queue holds $size of at most $capacity" }
    }

    private fun removeWhere(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val gone = classes.values.flatMap { it.remove(matches) }
        removed(gone.size)
        return gone
    }

    private fun removed(count: Int) {
        size -= count
        classes.values.removeIf { it.isEmpty }
    }
}
