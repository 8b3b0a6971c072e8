package io.mimosatrail.core.admission

import java.util.TreeSet

/** Waiting work of one workspace at one priority, ordered by deadline, then by arrival. */
internal class WorkspaceQueue(var share: Int) {
    private class Item(val work: QueuedWork, val arrival: Long)

    private val items = TreeSet<Item>(compareBy({ it.work.startBy }, { it.arrival }))
    private var arrivals = 0L

    /** Virtual time at which the work last taken from this queue ends. */
    var virtualFinish = 0.0
    var cost = 0.0
        private set

    val isEmpty: Boolean get() = items.isEmpty()

    fun add(work: QueuedWork) {
        items += Item(work, arrivals++)
        cost += work.cost
        share = maxOf(1, work.share)
    }

    fun first(): QueuedWork = items.first().work

    fun takeFirst(): QueuedWork = subtractCost(checkNotNull(items.pollFirst()))

    fun takeLast(): QueuedWork = subtractCost(checkNotNull(items.pollLast()))

    fun remove(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val removed = items.filter { matches(it.work) }
        removed.forEach { item ->
            items.remove(item)
            subtractCost(item)
        }
        return removed.map { it.work }
    }

    private fun subtractCost(item: Item): QueuedWork {
        cost = if (items.isEmpty()) 0.0 else cost - item.work.cost
        return item.work
    }
}
