package io.mimosatrail.core.admission

import io.mimosatrail.core.id.WorkspaceId

/** Waiting work of one priority, shared between workspaces by weighted fair queueing. */
internal class PriorityClass {
    private val queues = LinkedHashMap<WorkspaceId, WorkspaceQueue>()
    private var virtualTime = 0.0

    val isEmpty: Boolean get() = queues.values.all { it.isEmpty }
    val cost: Double get() = queues.values.sumOf { it.cost }

    fun add(work: QueuedWork) {
        val queue = queues.getOrPut(work.workspace) { WorkspaceQueue(work.share).also { it.finish = virtualTime } }
        queue.add(work)
    }

    /** Takes the work of the workspace that has had the least for its share. */
    fun takeNext(): QueuedWork? {
        val queue = queues.values.filter { !it.isEmpty }.minByOrNull { start(it) } ?: return null
        virtualTime = start(queue)
        val work = queue.takeFirst()
        queue.finish = virtualTime + work.cost / queue.share
        forgetEmpty()
        return work
    }

    /** Takes the work that would have run last, from the workspace with the most waiting for its share. */
    fun takeLast(): QueuedWork? {
        val queue = queues.values.filter { !it.isEmpty }.maxByOrNull { it.cost / it.share } ?: return null
        val work = queue.takeLast()
        forgetEmpty()
        return work
    }

    /** Cost that runs before new work of [workspace] at [share], as far as the fair order tells. */
    fun costAhead(workspace: WorkspaceId, share: Int): Double {
        val own = queues[workspace]
        val rounds = ((own?.cost ?: 0.0) + 1) / share
        val others = queues.filterKeys { it != workspace }.values.sumOf { minOf(it.cost, rounds * it.share) }
        return (own?.cost ?: 0.0) + others
    }

    /** How far the workspace is above its share: waiting cost for each unit of share. */
    fun backlog(workspace: WorkspaceId, share: Int, added: Double): Double =
        ((queues[workspace]?.cost ?: 0.0) + added) / share

    fun largestBacklog(): Double = queues.values.maxOfOrNull { it.cost / it.share } ?: 0.0

    fun remove(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val gone = queues.values.flatMap { it.remove(matches) }
        forgetEmpty()
        return gone
    }

    private fun start(queue: WorkspaceQueue) = maxOf(virtualTime, queue.finish)

    /** An empty queue is kept until virtual time has passed what it has had, so that it cannot come back ahead. */
    private fun forgetEmpty() {
        queues.values.removeIf { it.isEmpty && it.finish <= virtualTime }
    }
}
