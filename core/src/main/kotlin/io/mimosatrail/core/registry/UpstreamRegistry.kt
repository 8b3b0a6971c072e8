package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Upstreams as the registry last listed them.
 *
 * Entries may lapse while the store is away although their upstreams live. An upstream that a listing lacks is kept
 * until [returnGrace] after the store became reachable again. Not thread-safe.
 */
class UpstreamRegistry(private val returnGrace: Duration = RETURN_GRACE) {
    private val listed = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val records = LinkedHashMap<InstanceId, UpstreamRecord>()
    private val words = HashMap<InstanceId, UpstreamWord>()
    private var byService = emptyMap<ServiceId, List<UpstreamRecord>>()
    private var lastListing: Moment? = null
    private var reachableSince: Moment? = null

    /** All upstreams that are not known to be gone. */
    val all: Collection<UpstreamRecord> get() = records.values

    /** True once the registry has been read. */
    val isKnown: Boolean get() = lastListing != null

    /** Upstreams of [service], draining ones included. */
    fun of(service: ServiceId): List<UpstreamRecord> = byService[service].orEmpty()

    /** The upstream with [id], or null. */
    operator fun get(id: InstanceId): UpstreamRecord? = records[id]

    /** Time since the last listing, or null before the first. */
    fun age(now: Moment): Duration? = lastListing?.let { now - it }

    /** Takes a whole listing that was read at [now] and answers what it changed. */
    fun onListing(listing: List<UpstreamRecord>, now: Moment): List<RegistryChange> {
        if (reachableSince == null) reachableSince = now
        lastListing = now
        val seen = listing.associateBy { it.id }
        if (mayForget(now)) listed.keys.retainAll(seen.keys)
        listed += seen
        return refresh(now)
    }

    /** Takes what an entry saw of an upstream and the registry does not show yet, and answers what it changed. */
    fun onWord(word: UpstreamWord, now: Moment): List<RegistryChange> {
        words[word.id] = word
        return refresh(now)
    }

    /** Joins the listing with what was seen since. */
    private fun refresh(now: Moment): List<RegistryChange> {
        words.values.removeIf { word -> word.isOver(listed[word.id], now) }
        val changes = mutableListOf<RegistryChange>()
        for (record in listed.values) {
            val joined = words[record.id]?.applyTo(record) ?: record
            val previous = records.put(record.id, joined)
            if (previous != joined) changes += RegistryChange(record.id, previous, joined)
        }
        val gone = records.keys - listed.keys
        gone.forEach { id -> records.remove(id)?.let { changes += RegistryChange(id, it, null) } }
        if (changes.isNotEmpty()) byService = records.values.groupBy { it.service }
        return changes
    }

    /** Notes that the registry could not be read. */
    fun onUnreachable() {
        reachableSince = null
    }

    private fun mayForget(now: Moment): Boolean = reachableSince?.let { now - it >= returnGrace } ?: false

    private companion object {
        /** Entries that lapsed in an outage are back about two seconds after its end. */
        val RETURN_GRACE = 2_200.milliseconds
    }
}

/** One upstream that a listing added ([before] is null), changed, or removed ([after] is null). */
data class RegistryChange(val id: InstanceId, val before: UpstreamRecord?, val after: UpstreamRecord?)
