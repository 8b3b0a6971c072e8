package io.mimosatrail.standins.store

import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.min

private const val MAX_CHANGES_PER_ANSWER = 1_000
private const val NANOS_PER_MILLI = 1_000_000L

/** Longest time until a waiting watch looks at the faults again, in nanoseconds. */
private const val RECHECK_NANOS = 250_000_000L

/** One value; [lease] is the lease that it ends with. */
internal data class Entry(
    val key: String,
    val value: String,
    val revision: Long,
    val createRevision: Long,
    val lease: Long?,
)

internal data class Change(val key: String, val entry: Entry?, val revision: Long)

internal class Lease(val ttlMillis: Long, var endsNanos: Long)

internal sealed interface WriteResult {
    data class Written(val revision: Long) : WriteResult

    data class Conflict(val current: Entry?) : WriteResult

    data object LeaseEnded : WriteResult
}

internal class WatchResult(val changes: List<Change>, val revision: Long, val compacted: Boolean)

/** Keys, leases and the latest [window] changes of the store. */
internal class StoreTable(private val window: Int) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val changes = ArrayDeque<Change>()
    private var revision = 0L
    private var lastLease = 0L
    private var droppedRevision = 0L

    fun get(key: String): Entry? = locked { entries[key] }

    /** Up to [limit] + 1 entries with [prefix] after [after], in key order. */
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
            !matches(expected, current) -> WriteResult.Conflict(current)
            else -> WriteResult.Written(write(key, value, lease))
        }
    }

    fun delete(key: String, expected: Long?): WriteResult = locked {
        val current = entries[key]
        when {
            !matches(expected, current) -> WriteResult.Conflict(current)
            current == null -> WriteResult.Written(revision)
            else -> WriteResult.Written(remove(key))
        }
    }

    fun grant(ttlMillis: Long): Long = locked {
        lastLease++
        leases[lastLease] = Lease(ttlMillis, endOf(ttlMillis))
        lastLease
    }

    /** Renews [lease] and answers its time to live, or null where it has ended. */
    fun renew(lease: Long): Long? = locked {
        val held = leases[lease]
        held?.endsNanos = held?.let { endOf(it.ttlMillis) } ?: 0
        held?.ttlMillis
    }

    fun end(lease: Long): Long = locked {
        drop(lease)
        revision
    }

    /** Waits up to [waitMillis] for changes of [prefix] after [after]; ends early where [stopped] holds. */
    fun watch(prefix: String, after: Long, waitMillis: Long, stopped: () -> Boolean): WatchResult = locked {
        val end = endOf(waitMillis)
        var found = changesOf(prefix, after)
        fun isWaiting() = found.isEmpty() && after >= droppedRevision && System.nanoTime() < end
        while (isWaiting() && !stopped()) {
            awaitChange(end)
            found = changesOf(prefix, after)
        }
        val full = found.size == MAX_CHANGES_PER_ANSWER
        val compacted = after < droppedRevision
        WatchResult(if (compacted) emptyList() else found, if (full) found.last().revision else revision, compacted)
    }

    private fun changesOf(prefix: String, after: Long): List<Change> {
        if (after >= revision) return emptyList()
        val newest = changes.asReversed().takeWhile { it.revision > after }.asReversed()
        return newest.filter { it.key.startsWith(prefix) }.take(MAX_CHANGES_PER_ANSWER)
    }

    private fun awaitChange(endNanos: Long) {
        val nextEnd = leases.values.minOfOrNull { it.endsNanos } ?: endNanos
        val wait = min(min(endNanos, nextEnd) - System.nanoTime(), RECHECK_NANOS)
        if (wait > 0) changed.awaitNanos(wait)
        expire()
    }

    private fun matches(expected: Long?, current: Entry?) = expected == null || expected == (current?.revision ?: 0L)

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
        if (changes.size > window) droppedRevision = changes.removeFirst().revision
        changed.signalAll()
    }

    private fun drop(lease: Long) {
        leases.remove(lease) ?: return
        entries.values.filter { it.lease == lease }.forEach { remove(it.key) }
    }

    private fun expire() {
        val now = System.nanoTime()
        leases.filterValues { it.endsNanos <= now }.keys.forEach { drop(it) }
    }

    private fun endOf(millis: Long) = System.nanoTime() + millis * NANOS_PER_MILLI

    private fun <T> locked(block: () -> T): T = lock.withLock {
        expire()
        block()
    }
}
