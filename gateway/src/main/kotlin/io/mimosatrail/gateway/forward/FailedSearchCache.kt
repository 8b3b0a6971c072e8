package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import io.mimosatrail.core.waiting.RequestSize
import kotlin.time.Duration.Companion.milliseconds

/**
 * Input of a path search in [service]: the search uses none of the engines in [excluded]. [firstEngine] is the engine
 * with which the path must begin, or null if it may begin with any but those in [notFirst]. [size] is null if searches
 * for requests of all sizes count as the same.
 */
internal data class SearchKey(
    val service: ServiceId,
    val excluded: Set<InstanceId> = emptySet(),
    val firstEngine: InstanceId? = null,
    val notFirst: Set<InstanceId> = emptySet(),
    val size: RequestSize? = null,
)

/**
 * Negative cache of path searches. Many requests search for the same path after the loss of an engine or at full load;
 * the cache spares them a search that would most likely fail.
 */
internal class FailedSearchCache {
    /** By the search without the size of the request, then by that size. */
    private val expiries = HashMap<SearchKey, HashMap<RequestSize?, Moment>>()

    /** Adds [key], whose search found no path. */
    fun add(key: SearchKey, now: Moment) {
        expiries.values.removeIf { bySize ->
            bySize.values.removeIf { now >= it }
            bySize.isEmpty()
        }
        expiries.getOrPut(key.copy(size = null)) { HashMap() }[key.size] = now + TIME_TO_LIVE
    }

    /** True if a search for [key], or for a request that asks for no more, failed less than [TIME_TO_LIVE] ago. */
    fun contains(key: SearchKey, now: Moment): Boolean {
        val bySize = expiries[key.copy(size = null)] ?: return false
        return bySize.any { (size, expiry) -> now < expiry && isAtLeast(key.size, size) }
    }

    private fun isAtLeast(size: RequestSize?, failed: RequestSize?): Boolean =
        if (size == null || failed == null) size == failed else size.covers(failed)

    private companion object {
        /** Streams end a few tens of times a second; requests wait for capacity a multiple of this time. */
        val TIME_TO_LIVE = 100.milliseconds
    }
}
