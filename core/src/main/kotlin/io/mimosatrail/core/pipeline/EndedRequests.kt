package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Generations that ended lately; frames of these open nothing. */
internal class EndedRequests(private val memory: Duration) {
    private class Ended(val generation: Generation, val at: Moment)

    private val ended = LinkedHashMap<RequestId, Ended>()

    fun add(request: RequestId, generation: Generation, now: Moment) {
        val newest = ended.remove(request)?.generation?.let { maxOf(it, generation) } ?: generation
        ended[request] = Ended(newest, now)
    }

    fun covers(request: RequestId, generation: Generation): Boolean =
        ended[request]?.let { generation <= it.generation } ?: false

    /** Removes what is older than the memory. */
    fun forget(now: Moment) {
        val entries = ended.values.iterator()
        while (entries.hasNext() && now - entries.next().at > memory) entries.remove()
    }
}
