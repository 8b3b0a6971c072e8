package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/** A search for a path of [service] that avoids the engines in [without], and begins at [first] if that is set. */
internal data class RoomQuestion(
    val service: ServiceId,
    val without: Set<InstanceId> = emptySet(),
    val first: InstanceId? = null,
)

/**
 * Remembers for a moment that a search found no path with room, so that the many requests that ask the same after a
 * loss or at the limit do not each search all the time.
 */
internal class RoomMemory {
    private val fullUntil = HashMap<RoomQuestion, Moment>()

    /** Notes that a search found no path. */
    fun onFull(question: RoomQuestion, now: Moment) {
        fullUntil.values.removeIf { now >= it }
        fullUntil[question] = now + SPAN
    }

    /** True while a search would most likely find nothing. */
    fun isFull(question: RoomQuestion, now: Moment): Boolean = fullUntil[question]?.let { now < it } ?: false

    private companion object {
        /** Streams end a few tens of times a second; the wait for room is a multiple of this. */
        val SPAN = 100.milliseconds
    }
}
