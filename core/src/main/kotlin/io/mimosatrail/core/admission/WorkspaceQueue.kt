package io.mimosatrail.core.admission

import java.util.TreeSet

/** Waiting work of one workspace at one priority, the earliest deadline first. */
internal class WorkspaceQueue(var share: Int) {
    private class Item(val work: QueuedWork, val number: Long)

    private val items = TreeSet<Item>(compareBy({ it.work.startBy }, { it.number }))
    private var added = 0L

    /** Virtual time at which the last work taken from this queue ends. */
    var finish = 0.0
    var cost = 0.0
        private set

    val isEmpty: Boolean get() = items.isEmpty()

    fun add(work: QueuedWork) {
        items += Item(work, added++)
        cost += work.cost
        share = maxOf(1, work.share)
    }

    fun first(): QueuedWork = items.first().work

    fun takeFirst(): QueuedWork = removed(checkNotNull(items.pollFirst()))

    fun takeLast(): QueuedWork = removed(checkNotNull(items.pollLast()))

    fun remove(matches: (QueuedWork) -> Boolean): List<QueuedWork> {
        val gone = items.filter { matches(it.work) }
        gone.forEach { item ->
            items.remove(item)
            removed(item)
        }
        return gone.map { it.work }
    }

    private fun removed(item: Item): QueuedWork {
        cost = if (items.isEmpty()) 0.0 else cost - item.work.cost
        return item.work
    }
}
