package io.mimosatrail.standins.store

import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.min

private const val MAX_CHANGES_PER_RESPONSE = 1_000
private const val NANOS_PER_MILLI = 1_000_000L

/** Interval at which a waiting watch checks whether it has to stop. */
private const val RECHECK_NANOS = 250_000_000L

/** A key and its value. The key is deleted when [lease] ends; null means that it has no lease. */
internal data class Entry(
    val key: String,
    val value: String,
    val revision: Long,
    val createRevision: Long,
    val lease: Long?,
)

/** A change of a key. [entry] is null if the key was deleted. */
internal data class Change(val key: String, val entry: Entry?, val revision: Long)

/** A lease with a time to live. [expiresAtNanos] is a time of [System.nanoTime]. */
internal class Lease(val ttlMillis: Long, var expiresAtNanos: Long)

/** Result of a write or deletion. */
internal sealed interface WriteResult {
    data class Written(val revision: Long) : WriteResult

    /** The revision of the key was not the expected one. [current] is null if the key does not exist. */
    data class Conflict(val current: Entry?) : WriteResult

    data object LeaseEnded : WriteResult
}

/**
 * Changes of one watch, all up to [revision]. [isCompacted] is true if changes after the requested revision are no
 * longer available; [changes] is empty then.
 */
internal class WatchResult(val changes: List<Change>, val revision: Long, val isCompacted: Boolean)

/** Keys, leases and the last [retainedChanges] changes of the store. Thread-safe. */
internal class StoreTable(private val retainedChanges: Int) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayDeque<Change>()
    private var revision = 0L
    private var lastLease = 0L

    /** Highest revision whose change is no longer available, 0 if there is none. */
    private var droppedRevision = 0L

    fun get(key: String): Entry? = locked { entries[key] }

    /** Entries with [prefix] after the key [after], in key order: [limit] + 1 if there are more than [limit]. */
    fun list(prefix: String, after: String, limit: Int): List<Entry> = locked {
        entries.tailMap(maxOf(prefix, after), true).values.asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .filter { it.key > after }
            .take(limit + 1)
            .toList()
    }

    fun put(key: String, value: String, expected: Long?, lease: Long?): WriteResult = locked {
        val current = entries[key]
        when {
            lease != null && lease !in leases -> WriteResult.LeaseEnded
            !matchesRevision(expected, current) -> WriteResult.Conflict(current)
            else -> WriteResult.Written(write(key, value, lease))
        }
    }

    fun delete(key: String, expected: Long?): WriteResult = locked {
        val current = entries[key]
        when {
            !matchesRevision(expected, current) -> WriteResult.Conflict(current)
            current == null -> WriteResult.Written(revision)
            else -> WriteResult.Written(remove(key))
        }
    }

    fun grant(ttlMillis: Long): Long = locked {
        lastLease++
        leases[lastLease] = Lease(ttlMillis, deadlineAfter(ttlMillis))
        lastLease
    }

    /** Renews [lease]. Returns its time to live in milliseconds, or null if it has ended. */
    fun renew(lease: Long): Long? = locked {
        val granted = leases[lease]
        granted?.expiresAtNanos = granted?.let { deadlineAfter(it.ttlMillis) } ?: 0
        granted?.ttlMillis
    }

    /** Ends [lease] and deletes its keys. Returns the revision of the store. */
    fun endLease(lease: Long): Long = locked {
        removeLease(lease)
        revision
    }

    /**
     * Waits up to [waitMillis] for changes of keys with [prefix] after revision [after]. Returns early, possibly
     * without changes, if [isStopped] holds.
     */
    fun watch(prefix: String, after: Long, waitMillis: Long, isStopped: () -> Boolean): WatchResult = locked {
        val deadline = deadlineAfter(waitMillis)
        var found = changesOf(prefix, after)
        fun isWaiting() = found.isEmpty() && after >= droppedRevision && System.nanoTime() < deadline
        while (isWaiting() && !isStopped()) {
            awaitChange(deadline)
            found = changesOf(prefix, after)
        }
        val isFull = found.size == MAX_CHANGES_PER_RESPONSE
        val isCompacted = after < droppedRevision
        WatchResult(
            if (isCompacted) emptyList() else found,
            if (isFull) found.last().revision else revision,
            isCompacted,
        )
    }

    private fun changesOf(prefix: String, after: Long): List<Change> {
        if (after >= revision) return emptyList()
        val newest = changes.asReversed().takeWhile { it.revision > after }.asReversed()
        return newest.filter { it.key.startsWith(prefix) }.take(MAX_CHANGES_PER_RESPONSE)
    }

    private fun awaitChange(deadlineNanos: Long) {
        val nextExpiry = leases.values.minOfOrNull { it.expiresAtNanos } ?: deadlineNanos
        val wait = min(min(deadlineNanos, nextExpiry) - System.nanoTime(), RECHECK_NANOS)
        if (wait > 0) changed.awaitNanos(wait)
        expire()
    }

    private fun matchesRevision(expected: Long?, current: Entry?) =
        expected == null || expected == (current?.revision ?: 0L)

    private fun write(key: String, value: String, lease: Long?): Long {
        revision++
        val entry = Entry(key, value, revision, entries[key]?.createRevision ?: revision, lease)
        entries[key] = entry
        record(Change(key, entry, revision))
        return revision
    }

    private fun remove(key: String): Long {
        revision++
        entries.remove(key)
        record(Change(key, null, revision))
        return revision
    }

    private fun record(change: Change) {
        changes.addLast(change)
        if (changes.size > retainedChanges) droppedRevision = changes.removeFirst().revision
        changed.signalAll()
    }

    private fun removeLease(lease: Long) {
        leases.remove(lease) ?: return
        entries.values.filter { it.lease == lease }.forEach { remove(it.key) }
    }

    private fun expire() {
        val now = System.nanoTime()
        leases.filterValues { it.expiresAtNanos <= now }.keys.forEach { removeLease(it) }
    }

    private fun deadlineAfter(millis: Long) = System.nanoTime() + millis * NANOS_PER_MILLI

    private fun <T> locked(block: () -> T): T = lock.withLock {
        expire()
        block()
    }
}
