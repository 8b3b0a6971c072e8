package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Remembers recently ended requests for [retention], so that delayed frames do not open them again. */
internal class EndedRequests(private val retention: Duration) {
    private class Ended(val generation: Generation, val at: Moment)

    private val ended = LinkedHashMap<RequestId, Ended>()

    /** Records that [request] ended, for [generation] and older ones. */
    fun add(request: RequestId, generation: Generation, now: Moment) {
        val newest = ended.remove(request)?.generation?.let { maxOf(it, generation) } ?: generation
        ended[request] = Ended(newest, now)
    }

    /** True if [generation] of [request] is known to have ended. */
    fun covers(request: RequestId, generation: Generation): Boolean =
        ended[request]?.let { generation <= it.generation } ?: false

    /** Removes requests that ended more than [retention] ago. */
    fun removeExpired(now: Moment) {
        val entries = ended.values.iterator()
        while (entries.hasNext() && now - entries.next().at > retention) entries.remove()
    }
}
