package io.mimosatrail.core.calls

import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A record that was handed out for writing [since] and is not yet known to be stored; it contains [claims]. */
internal class PendingAppend(val append: CallEffect.Append, val claims: List<Claim>, val since: Moment) {
    /** True once a reply was lost: the record may already be in the store, or may still arrive there. */
    var isUncertain = false

    /** When to send the same append again; null while a reply is awaited. */
    var retryAt: Moment? = null
}

private class StoredRecord(val sequence: Long, val written: WallTime)

/** Batches claims and outcomes into records. At most one append is pending, and the rate of appends is limited. */
internal class JournalWriter(private val settings: CallSettings, private val nonces: () -> WriterNonce) {
    private val outcomes = ArrayDeque<JournalEntry>()
    private val claims = LinkedHashSet<Claim>()
    private val stored = ArrayDeque<StoredRecord>()
    private var sequence = 0L
    private var oldestOutcome: Moment? = null
    private var lastWrite: Moment? = null

    /** Number of owners that share the service's write budget. */
    var owners = 1

    /** The append whose reply is awaited or that is to be retried; null if there is none. */
    var pending: PendingAppend? = null
        private set

    val isEmpty: Boolean get() = outcomes.isEmpty() && claims.isEmpty() && pending == null

    fun queue(claim: Claim) {
        claims += claim
    }

    fun queue(outcome: JournalEntry, now: Moment) {
        outcomes += outcome
        oldestOutcome = oldestOutcome ?: now
    }

    /** Removes a claim that is not part of a record yet from the queue. */
    fun withdraw(claim: Claim) {
        claims -= claim
    }

    /** Removes and returns all claims that are not part of a record yet. */
    fun withdrawAll(): List<Claim> = claims.toList().also { claims.clear() }

    /** True if the pending append has been unresolved for [CallSettings.storeTimeout]. */
    fun isStalled(now: Moment): Boolean = pending.let { it != null && now - it.since >= settings.storeTimeout }

    /**
     * The append to send now: the pending one if its retry is due, or else the next record; null if neither is due.
     * With [urgent], outcomes do not wait for claims to share their record.
     */
    fun due(time: CallTime, urgent: Boolean): CallEffect.Append? {
        val current = pending ?: return next(time, urgent)
        val retryAt = current.retryAt ?: return null
        if (time.now < retryAt) return null
        current.retryAt = null
        return current.append
    }

    /** Called when the pending record is stored; returns the claims in it, whose calls may now be sent. */
    fun onStored(): List<Claim> {
        val current = checkNotNull(pending)
        stored += StoredRecord(sequence++, current.append.record.written)
        pending = null
        return current.claims
    }

    /**
     * Sequence of the oldest record if it was written before [bound], or else null. Never the last record, which marks
     * the end of the journal.
     */
    fun oldestBefore(bound: WallTime): Long? =
        stored.firstOrNull()?.takeIf { stored.size > 1 && it.written < bound }?.sequence

    /** Called after the oldest record was deleted from the store. */
    fun onDeleted(sequence: Long) {
        if (stored.firstOrNull()?.sequence == sequence) stored.removeFirst()
    }

    /**
     * Called when the pending record is not stored and never will be. Queues its outcomes again and returns its claims.
     */
    fun onNotStored(now: Moment): List<Claim> {
        val failed = checkNotNull(pending)
        pending = null
        val lost = failed.append.record.entries.filterNot { it is JournalEntry.Claimed }
        lost.asReversed().forEach(outcomes::addFirst)
        if (lost.isNotEmpty()) oldestOutcome = now
        return failed.claims
    }

    private fun next(time: CallTime, urgent: Boolean): CallEffect.Append? {
        if (!hasDueEntries(time.now, urgent) || !isWithinRate(time.now)) return null
        val entries = mutableListOf<JournalEntry>()
        takeOutcomes(entries)
        val taken = if (outcomes.isEmpty()) takeClaims(entries) else emptyList()
        lastWrite = time.now
        val append = CallEffect.Append(sequence, JournalRecord.Batch(nonces(), time.wall, entries))
        pending = PendingAppend(append, taken, time.now)
        return append
    }

    private fun hasDueEntries(now: Moment, urgent: Boolean): Boolean {
        val oldest = oldestOutcome
        return claims.isNotEmpty() || (oldest != null && (urgent || now - oldest >= settings.maxOutcomeDelay))
    }

    private fun isWithinRate(now: Moment): Boolean = lastWrite.let { it == null || now - it >= interval() }

    /** Time between two appends of this owner, so that all owners together stay within the write budget. */
    private fun interval(): Duration = 1.seconds * owners.coerceAtLeast(1) / settings.writesPerSecond

    private fun takeOutcomes(entries: MutableList<JournalEntry>) {
        var bytes = 0
        while (outcomes.isNotEmpty() && entries.size < settings.maxRecordEntries) {
            bytes += outcomes.first().size
            if (bytes > settings.maxRecordBytes && entries.isNotEmpty()) return
            entries += outcomes.removeFirst()
        }
        if (outcomes.isEmpty()) oldestOutcome = null
    }

    private fun takeClaims(entries: MutableList<JournalEntry>): List<Claim> {
        var bytes = entries.sumOf { it.size }
        val taken = mutableListOf<Claim>()
        for (claim in claims) {
            val entry = JournalEntry.Claimed(claim.key, claim.hash)
            bytes += entry.size
            val full = entries.size >= settings.maxRecordEntries || bytes > settings.maxRecordBytes
            if (full && entries.isNotEmpty()) break
            entries += entry
            taken += claim
        }
        claims.removeAll(taken.toSet())
        return taken
    }
}
