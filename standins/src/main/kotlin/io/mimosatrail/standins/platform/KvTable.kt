package io.mimosatrail.standins.platform

import java.util.TreeMap

/** One key of the store with its base64 [value]. [created] is the revision of its creation; [lease] 0 means none. */
internal data class KvRow(val key: String, val value: String, val revision: Long, val created: Long, val lease: Long)

/** A change of the store. [row] is null if the key was deleted. */
internal data class KvEvent(val key: String, val revision: Long, val row: KvRow?)

/** A backup of a [KvTable]. */
internal class KvBackup(val rows: Map<String, KvRow>, val leases: Map<Long, Long>, val revision: Long)

/** Rows, leases and change history of the store. All functions are synchronised. */
internal class KvTable(private val nowMillis: () -> Long = System::currentTimeMillis) {
    private class Lease(val ttlMillis: Long, var expiresAtMillis: Long)

    private val rows = TreeMap<String, KvRow>()
    private val leases = HashMap<Long, Lease>()
    private val events = mutableListOf<KvEvent>()
    private var compactedRevision = 0L

    var revision = 1L
        private set

    /** Number of the timeline. Each restore from a backup begins the next one. */
    var timeline = 1L
        private set

    @Synchronized
    fun get(key: String): KvRow? {
        expire()
        return rows[key]
    }

    /** Rows with [prefix] in key order; with [after], only the keys after it. */
    @Synchronized
    fun range(prefix: String, after: String?): List<KvRow> {
        expire()
        return rows.tailMap(prefix).values
            .takeWhile { it.key.startsWith(prefix) }
            .filter { after == null || it.key > after }
    }

    /** Events of keys with [prefix] after revision [after], or null if changes since then were compacted. */
    @Synchronized
    fun eventsAfter(prefix: String, after: Long): List<KvEvent>? {
        expire()
        return if (after < compactedRevision || after > revision) {
            null
        } else {
            events.filter { it.revision > after && it.key.startsWith(prefix) }
        }
    }

    /** Deletes the change history. */
    @Synchronized
    fun compact() {
        events.clear()
        compactedRevision = revision
    }

    @Synchronized
    fun backup() = KvBackup(rows.toMap(), leases.mapValues { it.value.ttlMillis }, revision)

    /**
     * Returns to [backup] and begins a new timeline. The writers of keys with one of [keptPrefixes] notice the loss and
     * write again what differs.
     */
    @Synchronized
    fun restore(backup: KvBackup, keptPrefixes: List<String>) {
        val isKept = { key: String -> keptPrefixes.any(key::startsWith) }
        val lost = rows.values.filter { isKept(it.key) && backup.rows[it.key]?.value != it.value }
        val deleted = backup.rows.keys.filter { isKept(it) && it !in rows }
        rows.clear()
        rows.putAll(backup.rows)
        leases.clear()
        backup.leases.forEach { (id, ttl) -> leases[id] = Lease(ttl, nowMillis() + ttl) }
        revision = backup.revision
        timeline++
        compact()
        lost.forEach { transact(emptyMap(), listOf(it), emptyList()) }
        deleted.forEach { transact(emptyMap(), emptyList(), listOf(it)) }
    }

    /**
     * Applies all writes and returns their revision if each key of [conditions] has the given revision (0: no such
     * key). Otherwise applies none and returns null.
     */
    @Synchronized
    fun transact(conditions: Map<String, Long>, puts: List<KvRow>, deletes: List<String>): Long? {
        expire()
        if (conditions.any { (key, expected) -> (rows[key]?.revision ?: 0) != expected }) return null
        revision++
        for (put in puts) {
            val row = put.copy(revision = revision, created = rows[put.key]?.created ?: revision)
            rows[put.key] = row
            events += KvEvent(put.key, revision, row)
        }
        deletes.forEach(::delete)
        return revision
    }

    /** Whether lease [id] is active; true for 0, which means no lease. */
    @Synchronized
    fun hasLease(id: Long): Boolean {
        expire()
        return id == 0L || id in leases
    }

    @Synchronized
    fun grantLease(ttlMillis: Long): Long {
        revision++
        leases[revision] = Lease(ttlMillis, nowMillis() + ttlMillis)
        return revision
    }

    /** Renews a lease. Returns its time to live in milliseconds, or null if it has ended. */
    @Synchronized
    fun renewLease(id: Long): Long? {
        expire()
        val lease = leases[id] ?: return null
        lease.expiresAtMillis = nowMillis() + lease.ttlMillis
        return lease.ttlMillis
    }

    /** Ends a lease and deletes its keys. */
    @Synchronized
    fun endLease(id: Long) {
        leases -= id
        rows.values.filter { it.lease == id }.map { it.key }.forEach {
            revision++
            delete(it)
        }
    }

    private fun expire() {
        leases.filterValues { it.expiresAtMillis <= nowMillis() }.keys.toList().forEach(::endLease)
    }

    private fun delete(key: String) {
        if (rows.remove(key) != null) events += KvEvent(key, revision, null)
    }
}
