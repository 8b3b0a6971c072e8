package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The known upstreams: the last listing of the registry, updated with observations that are newer.
 *
 * Live upstreams renew their entries every [heartbeat]. Their entries may expire while the store is unavailable, so
 * what is missing after an outage is kept until live upstreams have had time to register again. Whatever has been
 * listed since the outage and is missing later has left.
 *
 * A store that was restored from a backup lists upstreams as they were some time before. It lacks those that have
 * started since, which are treated as after an outage, and it lists those that have left or restarted since until their
 * old entries expire. An upstream that is draining, or that announced that it is leaving, stays so until it restarts,
 * whatever the store lists.
 * Not thread-safe.
 */
class UpstreamRegistry(heartbeat: Duration = DEFAULT_HEARTBEAT) {
    private val shortestExpiry = heartbeat * HEARTBEATS_TO_EXPIRE
    private val longestExpiry = heartbeat * MOST_HEARTBEATS_TO_EXPIRE + EXPIRY_MARGIN
    private val listed = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val records = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val observations = HashMap<InstanceId, UpstreamObservation>()
    private var byService = emptyMap<ServiceId, List<UpstreamRecord>>()
    private var lastListing: Moment? = null

    /** True if the registry could not be read since the last listing. */
    private var hasFailed = false

    /** Time of the first listing after the last outage in which entries may have expired. */
    private var returnedAt: Moment? = null

    /** True from a restore of the store until the next listing. */
    private var isRestored = false

    /** Until this time the store may list upstreams that have left before it was restored; null if it never was. */
    private var outdatedUntil: Moment? = null

    /** Upstreams that have left, with their start times in Unix milliseconds. */
    private val departed = HashMap<InstanceId, Departure>()
    private val notListedSinceOutage = LinkedHashSet<InstanceId>()

    /** Upstreams that are leaving according to themselves or to the store; each until some time after it has left. */
    private val leaving = HashMap<InstanceId, Departure>()

    /** Upstreams that the last listing lacked and that have not been removed yet. */
    val missing: Set<InstanceId> get() = notListedSinceOutage.toSet()

    /** The [missing] upstreams are removed by the first listing that is read at this time or later; null if none. */
    val missingUntil: Moment? get() = if (notListedSinceOutage.isEmpty()) null else returnedAt?.plus(REGISTRATION_TIME)

    /** All upstreams that have not been removed, draining ones included. */
    val all: Collection<UpstreamRecord> get() = records.values

    /** True once the registry has been listed. */
    val isLoaded: Boolean get() = lastListing != null

    /** Upstreams of [service], draining ones included. */
    fun of(service: ServiceId): List<UpstreamRecord> = byService[service].orEmpty()

    /** True if [service] has upstreams and all of them are draining. */
    fun isLeaving(service: ServiceId): Boolean =
        of(service).let { all -> all.isNotEmpty() && all.all { it.isDraining } }

    /** The upstream with [id], or null. */
    operator fun get(id: InstanceId): UpstreamRecord? = records[id]

    /**
     * True if the process of [record] has ended as far as the registry shows: its entry has been removed, or another
     * process is listed in its place.
     */
    fun hasLeft(record: UpstreamRecord): Boolean {
        val known = records[record.id] ?: return isLoaded
        return known.startedMillis > record.startedMillis
    }

    /** Time since the last listing, or null before the first. */
    fun age(now: Moment): Duration? = lastListing?.let { now - it }

    /** Applies a complete listing that was read at [now] and returns the changes. */
    fun onListing(listing: List<UpstreamRecord>, now: Moment): List<RegistryChange> {
        if (isRestored) outdatedUntil = now + longestExpiry
        if (isRestored || mayHaveExpired(now)) {
            returnedAt = now
            notListedSinceOutage += listed.keys
        }
        isRestored = false
        hasFailed = false
        lastListing = now
        departed.values.removeIf { now - it.at > DEPARTURE_KEPT_TIME }
        val seen = listing.filterNot { isOutdated(it, now) }.associateBy { it.id }
        seen.values.filter { it.isDraining }.forEach { markLeaving(it.id, it.startedMillis, now) }
        notListedSinceOutage -= seen.keys
        if (missingUntil?.let { now >= it } ?: false) notListedSinceOutage.clear()
        listed.keys.retainAll(seen.keys + notListedSinceOutage)
        listed += seen
        leaving.replaceAll { id, known -> if (id in listed) Departure(known.startedMillis, now) else known }
        leaving.values.removeIf { now - it.at > DEPARTURE_KEPT_TIME }
        return refresh(now)
    }

    /**
     * Records that the process of [id] that started at [startedMillis], in Unix milliseconds, is leaving, and returns
     * the changes. It gets no new requests from now on, whether or not it is listed.
     */
    fun onLeaving(id: InstanceId, startedMillis: Long, now: Moment): List<RegistryChange> {
        markLeaving(id, startedMillis, now)
        return refresh(now)
    }

    /** True if [record] is known to be leaving. */
    fun isLeaving(record: UpstreamRecord): Boolean =
        leaving[record.id]?.let { record.startedMillis <= it.startedMillis } ?: false

    private fun markLeaving(id: InstanceId, startedMillis: Long, now: Moment) {
        val latest = maxOf(startedMillis, leaving[id]?.startedMillis ?: startedMillis)
        leaving[id] = Departure(latest, now)
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
            val observed = observations[record.id]?.applyTo(record) ?: record
            val merged = if (isLeaving(observed)) observed.copy(isDraining = true) else observed
            val previous = records.put(record.id, merged)
            if (previous != merged) changes += RegistryChange(record.id, previous, merged)
        }
        val gone = records.keys - listed.keys
        for (record in gone.mapNotNull(records::remove)) {
            departed[record.id] = Departure(record.startedMillis, now)
            changes += RegistryChange(record.id, record, null)
        }
        if (changes.isNotEmpty()) byService = records.values.groupBy { it.service }
        return changes
    }

    /** Records that the store still had the content of the last listing at [at]. */
    fun onVerified(at: Moment) {
        if (!hasFailed) lastListing = lastListing?.let { maxOf(it, at) }
    }

    /** Records that the registry could not be read. */
    fun onUnreachable() {
        hasFailed = true
    }

    /** Records that the store was restored from a backup. */
    fun onRestored() {
        isRestored = true
    }

    /** True if [record] is from a backup and is known to have left or restarted since. */
    private fun isOutdated(record: UpstreamRecord, now: Moment): Boolean {
        if (outdatedUntil?.let { now >= it } ?: true) return false
        val hasLeft = departed[record.id]?.let { record.startedMillis <= it.startedMillis } ?: false
        val hasRestarted = listed[record.id]?.let { record.startedMillis < it.startedMillis } ?: false
        return hasLeft || hasRestarted
    }

    private fun mayHaveExpired(now: Moment): Boolean =
        hasFailed && lastListing?.let { now - it >= shortestExpiry } ?: false

    private class Departure(val startedMillis: Long, val at: Moment)

    private companion object {
        val DEFAULT_HEARTBEAT = 1_200.milliseconds

        /** An entry expires after three missed heartbeats; the first may have been due when the outage began. */
        const val HEARTBEATS_TO_EXPIRE = 2

        /** The last heartbeat in a backup may be as recent as the backup. */
        const val MOST_HEARTBEATS_TO_EXPIRE = 3
        val EXPIRY_MARGIN = 1_000.milliseconds

        /** Backups are some seconds old and do not list what left before. */
        val DEPARTURE_KEPT_TIME = 60_000.milliseconds

        /** Upstreams register again about two seconds after the end of an outage. */
        val REGISTRATION_TIME = 2_100.milliseconds
    }
}

/** An upstream that was added ([before] is null), changed, or removed ([after] is null). */
data class RegistryChange(val id: InstanceId, val before: UpstreamRecord?, val after: UpstreamRecord?)
