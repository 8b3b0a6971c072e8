package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when an entry lists the registry.
 *
 * A few entries, the readers, list it regularly and report the digests of what they read. Another entry lists it only
 * if a digest differs from that of its own last listing, if it receives no reports for an interval, and rarely
 * otherwise. What a reader reports is never used itself, so it can cause a superfluous listing and nothing else.
 * Not thread-safe.
 */
class ListingSchedule(private val intervals: StorePollIntervals) {
    private var digest: ListingDigest? = null
    private var listedAt: Moment? = null

    /** The latest time at which the store is known to have had the content of the last listing. */
    private var verifiedAt: Moment? = null

    /** The latest time at which another entry read something else; null if that was before the last listing. */
    private var changedAt: Moment? = null

    /** Records that a complete listing with [digest] was requested at [requestedAt]. */
    fun onListing(digest: ListingDigest, requestedAt: Moment) {
        this.digest = digest
        listedAt = requestedAt
        verifiedAt = requestedAt
        changedAt = changedAt?.takeIf { it > requestedAt }
    }

    /** Records that the store was restored from a backup. Earlier listings say nothing, so one is due at once. */
    fun onRestored() {
        digest = null
        listedAt = null
        verifiedAt = null
        changedAt = null
    }

    /**
     * Records the [report] of another entry, which arrived at [now]. Returns the time at which it confirms the last
     * listing of this entry, or null if it doesn't.
     */
    fun onReport(report: ListingReport, now: Moment): Moment? {
        val readAt = now - report.ageMillis.milliseconds
        val own = listedAt ?: return null
        if (report.ageMillis < 0 || readAt <= own) return null
        val isChanged = report.digest != digest
        if (isChanged) changedAt = maxOf(changedAt ?: readAt, readAt)
        if (isChanged || changedAt?.let { it > readAt } ?: false) return null
        verifiedAt = maxOf(verifiedAt ?: readAt, readAt)
        return readAt
    }

    /** What this entry reports to others at [now], null before its first listing. */
    fun report(now: Moment): ListingReport? {
        val at = listedAt ?: return null
        return digest?.let { ListingReport(it, (now - at).inWholeMilliseconds) }
    }

    /** When this entry lists the registry next if there are [entries] entries; null if it is to do so at once. */
    fun nextListing(entries: Int, isReader: Boolean): Moment? {
        val listed = listedAt ?: return null
        if (isReader) return listed + readerInterval(entries)
        val interval = intervals.listingInterval(entries)
        if (changedAt != null) return listed + interval * CHANGE_SHARE
        val verified = verifiedAt ?: listed
        return minOf(verified + interval, listed + LONGEST_PAUSE)
    }

    /** The other entries must receive the next report before they would list the registry themselves. */
    private fun readerInterval(entries: Int): Duration {
        val readers = minOf(entries, readers(entries))
        val interval = intervals.listingInterval(readers)
        return if (readers == entries) interval else minOf(interval, intervals.listingInterval(entries) * READER_SHARE)
    }

    companion object {
        /** Fraction of the usual interval; the rest is left for the reports. */
        private const val READER_SHARE = 0.6

        /** Some readers may fail at the same time as others are cut off. */
        private const val FEWEST_READERS = 6

        /** Each entry receives reports of several readers within a second, also in a large fleet. */
        private const val ENTRIES_PER_READER = 10

        /** Fraction of the usual interval between two listings while the registry changes all the time. */
        private const val CHANGE_SHARE = 0.75

        /** After this time an entry lists the registry whatever the readers report. */
        private val LONGEST_PAUSE: Duration = 20.seconds

        private fun readers(entries: Int): Int = maxOf(FEWEST_READERS, entries / ENTRIES_PER_READER)

        /**
         * True if the entry [self] is one of the readers among all entries [ids], by rendezvous hashing: a change of
         * the entries changes as few readers as possible. An entry that is not registered yet is one.
         */
        fun isReader(self: InstanceId, ids: Set<InstanceId>): Boolean {
            if (self !in ids) return true
            val own = weight(self)
            return ids.count { weight(it) > own } < readers(ids.size)
        }

        private fun weight(id: InstanceId): Int {
            val mixed = id.value.hashCode() * HASH_MULTIPLIER
            return mixed xor (mixed ushr HASH_SHIFT)
        }

        private const val HASH_MULTIPLIER = -1640531527
        private const val HASH_SHIFT = 15
    }
}
