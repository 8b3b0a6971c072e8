package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The known upstreams: the last listing of the registry, updated with observations that are newer.
 *
 * While the store is unavailable, the registry entries of live upstreams may expire. An upstream that is missing from a
 * listing is therefore removed only if the store has been reachable for [expiryGrace]. Not thread-safe.
 */
class UpstreamRegistry(private val expiryGrace: Duration = EXPIRY_GRACE) {
    private val listed = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val records = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val observations = HashMap<InstanceId, UpstreamObservation>()
    private var byService = emptyMap<ServiceId, List<UpstreamRecord>>()
    private var lastListing: Moment? = null
    private var reachableSince: Moment? = null

    /** Upstreams that the last listing lacked and that have not been removed yet. */
    var missing: Set<InstanceId> = emptySet()
        private set

    /** All upstreams that have not been removed, draining ones included. */
    val all: Collection<UpstreamRecord> get() = records.values

    /** True once the registry has been listed. */
    val isLoaded: Boolean get() = lastListing != null

    /** Upstreams of [service], draining ones included. */
    fun of(service: ServiceId): List<UpstreamRecord> = byService[service].orEmpty()

    /** The upstream with [id], or null. */
    operator fun get(id: InstanceId): UpstreamRecord? = records[id]

    /** Time since the last listing, or null before the first. */
    fun age(now: Moment): Duration? = lastListing?.let { now - it }

    /** Applies a complete listing that was read at [now] and returns the changes. */
    fun onListing(listing: List<UpstreamRecord>, now: Moment): List<RegistryChange> {
        if (reachableSince == null) reachableSince = now
        lastListing = now
        val seen = listing.associateBy { it.id }
        if (mayRemove(now)) listed.keys.retainAll(seen.keys)
        listed += seen
        missing = listed.keys - seen.keys
        return refresh(now)
    }

    /** Applies an observation that the registry does not show yet and returns the changes. */
    fun onObservation(observation: UpstreamObservation, now: Moment): List<RegistryChange> {
        observations[observation.id] = observation
        return refresh(now)
    }

    /** Recomputes [records] from the listing and the observations and returns the changes. */
    private fun refresh(now: Moment): List<RegistryChange> {
        observations.values.removeIf { observation -> observation.isObsolete(listed[observation.id], now) }
        val changes = mutableListOf<RegistryChange>()
        for (record in listed.values) {
            val merged = observations[record.id]?.applyTo(record) ?: record
            val previous = records.put(record.id, merged)
            if (previous != merged) changes += RegistryChange(record.id, previous, merged)
        }
        val gone = records.keys - listed.keys
        gone.forEach { id -> records.remove(id)?.let { changes += RegistryChange(id, it, null) } }
        if (changes.isNotEmpty()) byService = records.values.groupBy { it.service }
        return changes
    }

    /** Records that the registry could not be read. */
    fun onUnreachable() {
        reachableSince = null
    }

    private fun mayRemove(now: Moment): Boolean = reachableSince?.let { now - it >= expiryGrace } ?: false

    private companion object {
        /** Upstreams register again about two seconds after the end of an outage. */
        val EXPIRY_GRACE = 2_200.milliseconds
    }
}

/** An upstream that was added ([before] is null), changed, or removed ([after] is null). */
data class RegistryChange(val id: InstanceId, val before: UpstreamRecord?, val after: UpstreamRecord?)
