package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * Input of a path search in [service]: the search uses none of the engines in [excluded]. [firstEngine] is the engine
 * with which the path must begin, or null if it may begin with any but those in [notFirst].
 */
internal data class SearchKey(
    val service: ServiceId,
    val excluded: Set<InstanceId> = emptySet(),
    val firstEngine: InstanceId? = null,
    val notFirst: Set<InstanceId> = emptySet(),
)

/**
 * Negative cache of path searches. Many requests search for the same path after the loss of an engine or at full load;
 * the cache spares them a search that would most likely fail.
 */
internal class FailedSearchCache {
    private val expiries = HashMap<SearchKey, Moment>()

    /** Adds [key], whose search found no path. */
    fun add(key: SearchKey, now: Moment) {
        expiries.values.removeIf { now >= it }
        expiries[key] = now + TIME_TO_LIVE
    }

    /** True if a search for [key] failed less than [TIME_TO_LIVE] ago. */
    fun contains(key: SearchKey, now: Moment): Boolean = expiries[key]?.let { now < it } ?: false

    private companion object {
        /** Streams end a few tens of times a second; requests wait for capacity a multiple of this time. */
        val TIME_TO_LIVE = 100.milliseconds
    }
}
