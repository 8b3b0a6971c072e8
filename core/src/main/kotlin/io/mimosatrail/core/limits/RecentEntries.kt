package io.mimosatrail.core.limits

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Entries that share a limit: those that are registered now or were shortly before. An entry that is no longer visible
 * may still run without the store. Not thread-safe.
 */
internal class RecentEntries(private val self: InstanceId, private val registered: () -> Set<InstanceId>) {
    private val lastSeen = HashMap<InstanceId, Moment>()

    /** The entries at [now], this one included. */
    fun at(now: Moment): Set<InstanceId> {
        (registered() + self).forEach { lastSeen[it] = now }
        lastSeen.values.removeIf { now - it > KEPT_TIME }
        return lastSeen.keys
    }

    private companion object {
        /** Longer than most outages of the store, in which registrations may expire. */
        val KEPT_TIME: Duration = 20.seconds
    }
}
