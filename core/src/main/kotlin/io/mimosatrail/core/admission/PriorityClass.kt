package io.mimosatrail.core.admission

import io.mimosatrail.core.id.WorkspaceId

/** Waiting work of one priority, ordered between workspaces by weighted fair queueing. */
internal class PriorityClass {
    private val queues = LinkedHashMap<WorkspaceId, WorkspaceQueue>()
    private var virtualTime = 0.0

    val isEmpty: Boolean get() = queues.values.all { it.isEmpty }
    val cost: Double get() = queues.values.sumOf { it.cost }

    fun add(work: QueuedWork) {
        val queue = queues.getOrPut(work.workspace) {
            WorkspaceQueue(work.share).also { it.virtualFinish = virtualTime }
        }
        queue.add(work)
    }

    /** Takes the next work of the workspace with the earliest virtual start time. Null if nothing waits. */
    fun takeNext(): QueuedWork? {
        val queue = queues.values.filter { !it.isEmpty }.minByOrNull { virtualStart(it) } ?: return null
        virtualTime = virtualStart(queue)
        val work = queue.takeFirst()
        queue.virtualFinish = virtualTime + work.cost / queue.share
        removeEmptyQueues()
        return work
    }

    /** Takes the work with the latest deadline of the workspace with the most waiting cost per unit of share. */
    fun takeLast(): QueuedWork? {
        val queue = queues.values.filter { !it.isEmpty }.maxByOrNull { it.cost / it.share } ?: return null
        val work = queue.takeLast()
        removeEmptyQueues()
        return work
    }

    /** Estimates the cost that runs before new work of [workspace] with weight [share]. */
    fun costAhead(workspace: WorkspaceId, share: Int): Double {
        val own = queues[workspace]
        val rounds = ((own?.cost ?: 0.0) + 1) / share
        val others = queues.filterKeys { it != workspace }.values.sumOf { minOf(it.cost, rounds * it.share) }
        return (own?.cost ?: 0.0) + others
    }

    /** Waiting cost of [workspace] per unit of [share], with [added] included. */
    fun backlog(workspace: WorkspaceId, share: Int, added: Double): Double =
        ((queues[workspace]?.cost ?: 0.0) + added) / share

    fun largestBacklog(): Double = queues.values.maxOfOrNull { it.cost / it.share } ?: 0.0

    fun remove(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val removed = queues.values.flatMap { it.remove(matches) }
        removeEmptyQueues()
        return removed
    }

    private fun virtualStart(queue: WorkspaceQueue) = maxOf(virtualTime, queue.virtualFinish)

    /**
     * Removes empty queues whose finish the virtual time has reached. If one were removed earlier, its workspace could
     * come back ahead of its share.
     */
    private fun removeEmptyQueues() {
        queues.values.removeIf { it.isEmpty && it.virtualFinish <= virtualTime }
    }
}
