package io.mimosatrail.core.calls

import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A record on the way to the store. */
internal class Outstanding(val append: CallEffect.Append, val claims: List<Claim>, val since: Moment) {
    /** True once a reply was lost: the record may stand in the store, or may still arrive there. */
    var uncertain = false
    var retryAt: Moment? = null
}

private class KeptRecord(val sequence: Long, val written: WallTime)

/** Gathers claims and outcomes into records: one write outstanding, at a bounded rate. */
internal class JournalWriter(private val settings: CallSettings, private val nonces: () -> WriterNonce) {
    private val outcomes = ArrayDeque<JournalEntry>()
    private val claims = LinkedHashSet<Claim>()
    private val kept = ArrayDeque<KeptRecord>()
    private var sequence = 0L
    private var oldestOutcome: Moment? = null
    private var lastWrite: Moment? = null

    /** Owners that share the service's write budget. */
    var owners = 1
    var outstanding: Outstanding? = null
        private set

    val isEmpty: Boolean get() = outcomes.isEmpty() && claims.isEmpty() && outstanding == null

    fun queue(claim: Claim) {
        claims += claim
    }

    fun queue(outcome: JournalEntry, now: Moment) {
        outcomes += outcome
        oldestOutcome = oldestOutcome ?: now
    }

    /** Takes back a claim that is in no record yet. */
    fun withdraw(claim: Claim) {
        claims -= claim
    }

    /** Takes back every claim that is in no record yet. */
    fun withdrawAll(): List<Claim> = claims.toList().also { claims.clear() }

    /** True where the store has not settled the outstanding record within its patience. */
    fun isStalled(now: Moment): Boolean = outstanding.let { it != null && now - it.since >= settings.storePatience }

    /** The next record, or the outstanding one again, where one is due. */
    fun due(time: CallTime, urgent: Boolean): CallEffect.Append? {
        val current = outstanding ?: return next(time, urgent)
        val retryAt = current.retryAt ?: return null
        if (time.now < retryAt) return null
        current.retryAt = null
        return current.append
    }

    /** The outstanding record stands in the store. */
    fun settled(): List<Claim> {
        val settled = checkNotNull(outstanding)
        kept += KeptRecord(sequence++, settled.append.record.written)
        outstanding = null
        return settled.claims
    }

    /** The oldest record where it was written before [bound]; never the last one, which marks the journal's end. */
    fun oldestBefore(bound: WallTime): Long? =
        kept.firstOrNull()?.takeIf { kept.size > 1 && it.written < bound }?.sequence

    /** Notes that the oldest record is deleted. */
    fun onDeleted(sequence: Long) {
        if (kept.firstOrNull()?.sequence == sequence) kept.removeFirst()
    }

    /** The outstanding record does not stand in the store and never will; outcomes are queued again. */
    fun failed(now: Moment): List<Claim> {
        val failed = checkNotNull(outstanding)
        outstanding = null
        val lost = failed.append.record.entries.filterNot { it is JournalEntry.Claimed }
        lost.asReversed().forEach(outcomes::addFirst)
        if (lost.isNotEmpty()) oldestOutcome = now
        return failed.claims
    }

    private fun next(time: CallTime, urgent: Boolean): CallEffect.Append? {
        if (!isWanted(time.now, urgent) || !isPaced(time.now)) return null
        val entries = mutableListOf<JournalEntry>()
        takeOutcomes(entries)
        val taken = if (outcomes.isEmpty()) takeClaims(entries) else emptyList()
        lastWrite = time.now
        val append = CallEffect.Append(sequence, JournalRecord.Batch(nonces(), time.wall, entries))
        outstanding = Outstanding(append, taken, time.now)
        return append
    }

    private fun isWanted(now: Moment, urgent: Boolean): Boolean {
        val oldest = oldestOutcome
        return claims.isNotEmpty() || (oldest != null && (urgent || now - oldest >= settings.outcomeDelay))
    }

    private fun isPaced(now: Moment): Boolean = lastWrite.let { it == null || now - it >= interval() }

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
