package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * Remembers for a moment that a service had no path with room, so that requests that wait for room do not each search
 * for it all the time: a search takes milliseconds, and many may wait.
 */
internal class RoomMemory {
    private val fullUntil = HashMap<ServiceId, Moment>()

    /** Notes that a search found no path. */
    fun onFull(service: ServiceId, now: Moment) {
        fullUntil[service] = now + SPAN
    }

    /** True while a search would most likely find nothing. */
    fun isFull(service: ServiceId, now: Moment): Boolean = fullUntil[service]?.let { now < it } ?: false

    private companion object {
        /** Streams end a few tens of times a second; the wait for room is a multiple of this. */
        val SPAN = 100.milliseconds
    }
}
