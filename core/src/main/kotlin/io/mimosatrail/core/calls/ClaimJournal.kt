package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.Moment

/**
 * Decides on the non-idempotent calls of one owner during [epoch]: each is sent at most once, after its claim stands in
 * the store. Events come in, effects go out.
 *
 * [violated] hears of a broken promise; the call concerned is refused.
 */
class ClaimJournal(
    val epoch: Epoch,
    self: InstanceId,
    private val settings: CallSettings,
    nonces: () -> WriterNonce,
    private val violated: (CallInvariant) -> Unit,
) {
    private val claims = ClaimTable(settings)
    private val writer = JournalWriter(settings, nonces)
    private val refuse = CallRefusals(self)
    private val slots = mutableSetOf<SlotId>()
    private var slotCount = 1
    private var isDraining = false

    /** True once another process sealed the journal. */
    @Volatile
    var isLost = false
        private set

    /** True when nothing is in flight and every outcome is stored. */
    val isQuiet: Boolean
        @Synchronized get() = claims.pending.isEmpty() && (writer.isEmpty || isLost)

    /** Starts to serve [served] of [total] slots, whose earlier claims are in [history]. [owners] share the budget. */
    @Synchronized
    fun admit(served: Set<SlotId>, total: Int, history: ClaimHistory) {
        slots += served
        slotCount = total
        claims.add(history)
    }

    /** Slots served now. */
    @Synchronized
    fun served(): Set<SlotId> = slots.toSet()

    /** Notes how many owners share the service's write budget. */
    @Synchronized
    fun shareBudget(owners: Int) {
        writer.owners = owners
    }

    /** The oldest record where it is past retention at [wall] and may be deleted. */
    @Synchronized
    fun oldestExpired(wall: WallTime): Long? = writer.oldestBefore(wall - settings.retention).takeUnless { isLost }

    /** Notes that the oldest record is deleted. */
    @Synchronized
    fun onDeleted(sequence: Long) = writer.onDeleted(sequence)

    /** Refuses keys that are not known yet. */
    @Synchronized
    fun startDraining() {
        isDraining = true
    }

    /** Takes new keys again. */
    @Synchronized
    fun stopDraining() {
        isDraining = false
    }

    @Synchronized
    fun onCall(attempt: CallAttempt, time: CallTime): List<CallEffect> {
        val claim = claims[attempt.key]
        val refusal = when {
            attempt.key.slotOf(slotCount) !in slots -> refuse.stale()
            claim != null -> return onRepeat(claim, attempt)
            isLost -> refuse.stale()
            isDraining -> refuse.draining()
            writer.isStalled(time.now) -> refuse.storeUnavailable()
            claims.isFull -> refuse.full()
            attempt.deadline <= time.now -> refuse.expiredBeforeSend()
            else -> null
        }
        if (refusal != null) return listOf(reply(attempt, refusal))
        val opened = Claim(attempt.key, attempt.hash, ClaimState.Queued, time.wall)
        opened.waiters += attempt
        claims.open(opened)
        writer.queue(opened)
        return flush(time)
    }

    /** Takes the store's [reply] to the outstanding [CallEffect.Append]. */
    @Synchronized
    fun onAppended(reply: StoreReply, time: CallTime): List<CallEffect> = when (reply) {
        is StoreReply.Written -> onWritten(time)
        is StoreReply.Conflict -> onConflict(reply, time)
        is StoreReply.NotDone -> onNotDone(time)
        else -> retryLater(time)
    }

    /** Takes the upstream's [result] for the call sent for [attempt]; a result that comes twice is ignored. */
    @Synchronized
    fun onResult(attempt: AttemptId, result: RunResult, time: CallTime): List<CallEffect> {
        val claim = claims.sentFor(attempt) ?: return emptyList()
        val replies = when (result) {
            is RunResult.Answered -> onAnswered(claim, result.answer, time)
            is RunResult.NotRun -> onReleased(claim, refuse.upstreamNotRun(result.detail), time.now)
            is RunResult.Uncertain -> onUnknown(claim, refuse.upstreamUncertain(result.detail), time.wall)
        }
        return replies + flush(time)
    }

    /** Ends waits whose deadline has passed, forgets old claims and writes what is due. */
    @Synchronized
    fun tick(time: CallTime): List<CallEffect> {
        claims.forgetBefore(time.wall - settings.retention)
        val stalled = if (writer.isStalled(time.now)) giveUpOnStore() else emptyList()
        return stalled + claims.pending.toList().flatMap { expire(it, time.now) } + flush(time)
    }

    private fun onRepeat(claim: Claim, attempt: CallAttempt): List<CallEffect> {
        if (claim.hash != attempt.hash) return listOf(reply(attempt, refuse.otherBody()))
        return when (val state = claim.state) {
            is ClaimState.Answered -> listOf(replay(attempt, state.answer))
            is ClaimState.Unknown -> listOf(reply(attempt, refuse.unknown()))
            else -> emptyList<CallEffect>().also { claim.waiters += attempt }
        }
    }

    private fun onWritten(time: CallTime): List<CallEffect> {
        val effects = writer.settled().flatMap { send(it, time.now) }
        return effects + flush(time)
    }

    private fun send(claim: Claim, now: Moment): List<CallEffect> {
        val sender = claim.waiters.firstOrNull { it.deadline > now } ?: return abandon(claim, now)
        val broken = when {
            claim.state !is ClaimState.Writing -> CallInvariant.SENT_WITHOUT_CLAIM
            claim.sender != null -> CallInvariant.SENT_TWICE
            else -> null
        }
        if (broken != null) {
            violated(broken)
            return takeWaiters(claim).map { reply(it, refuse.invariant()) }
        }
        claims.onSent(claim, sender.id)
        return listOf(CallEffect.Run(sender.id))
    }

    /** Ends a stored claim that nobody waits for any longer: it is never sent. */
    private fun abandon(claim: Claim, now: Moment): List<CallEffect> =
        onReleased(claim, refuse.expiredBeforeSend(), now)

    private fun onConflict(reply: StoreReply.Conflict, time: CallTime): List<CallEffect> {
        val standing = reply.current ?: return retryLater(time)
        val ours = writer.outstanding?.append?.record?.nonce
        val record = CallCodec.record(standing.value)
        if (record is JournalRecord.Batch && record.nonce == ours) return onWritten(time)
        if (record is JournalRecord.Batch) violated(CallInvariant.FOREIGN_BATCH)
        return onLost(time.now)
    }

    private fun onLost(now: Moment): List<CallEffect> {
        isLost = true
        val unsent = writer.failed(now) + writer.withdrawAll()
        return unsent.flatMap { refuseAll(it, refuse.stale()) } + CallEffect.EpochLost
    }

    private fun onNotDone(time: CallTime): List<CallEffect> {
        if (writer.outstanding?.uncertain == true) return retryLater(time)
        return writer.failed(time.now).flatMap { refuseAll(it, refuse.storeUnavailable()) }
    }

    private fun retryLater(time: CallTime): List<CallEffect> {
        val outstanding = writer.outstanding ?: return emptyList()
        outstanding.uncertain = true
        outstanding.retryAt = time.now + settings.storeRetry
        return emptyList()
    }

    private fun onAnswered(claim: Claim, answer: KeptAnswer, time: CallTime): List<CallEffect> {
        val sender = claim.sender
        claims.settle(claim, ClaimState.Answered(answer), time.wall)
        val kept = (claim.state as? ClaimState.Answered)?.answer
        writer.queue(JournalEntry.Answered(claim.key, claim.hash, kept), time.now)
        return takeWaiters(claim).map {
            CallEffect.Reply(it.id, CallDecision.Answer(answer, replayed = it.id != sender))
        }
    }

    private fun onReleased(claim: Claim, refusal: Refusal, now: Moment): List<CallEffect> {
        writer.queue(JournalEntry.Released(claim.key), now)
        return refuseAll(claim, refusal)
    }

    private fun onUnknown(claim: Claim, refusal: Refusal, wall: WallTime): List<CallEffect> {
        claims.settle(claim, ClaimState.Unknown, wall)
        return takeWaiters(claim).map { reply(it, refusal) }
    }

    /** Tells callers that wait for a store that does not answer; their claims are never sent. */
    private fun giveUpOnStore(): List<CallEffect> {
        val unsent = claims.pending.filter { it.state !is ClaimState.Running }
        return unsent.flatMap { claim ->
            val replies = takeWaiters(claim).map { reply(it, refuse.storeUnavailable()) }
            withdrawIfQueued(claim)
            replies
        }
    }

    private fun expire(claim: Claim, now: Moment): List<CallEffect> {
        val expired = claim.waiters.filter { it.deadline <= now }
        if (expired.isEmpty()) return emptyList()
        claim.waiters -= expired.toSet()
        val willRun = claim.state is ClaimState.Running || claim.waiters.isNotEmpty()
        if (!willRun) withdrawIfQueued(claim)
        val refusal = if (willRun) refuse.expiredWhileRunning() else refuse.expiredBeforeSend()
        return expired.map { reply(it, refusal) }
    }

    private fun withdrawIfQueued(claim: Claim) {
        if (claim.state !is ClaimState.Queued) return
        writer.withdraw(claim)
        claims.release(claim)
    }

    private fun refuseAll(claim: Claim, refusal: Refusal): List<CallEffect> {
        claims.release(claim)
        return takeWaiters(claim).map { reply(it, refusal) }
    }

    private fun takeWaiters(claim: Claim): List<CallAttempt> = claim.waiters.toList().also { claim.waiters.clear() }

    private fun flush(time: CallTime): List<CallEffect> {
        if (isLost) return emptyList()
        val append = writer.due(time, urgent = isDraining) ?: return emptyList()
        writer.outstanding?.claims?.forEach { it.state = ClaimState.Writing }
        return listOf(append)
    }

    private fun replay(attempt: CallAttempt, answer: KeptAnswer?): CallEffect = if (answer == null) {
        reply(attempt, refuse.ranWithoutAnswer())
    } else {
        CallEffect.Reply(attempt.id, CallDecision.Answer(answer, replayed = true))
    }

    private fun reply(attempt: CallAttempt, refusal: Refusal): CallEffect =
        CallEffect.Reply(attempt.id, CallDecision.Refuse(refusal))
}
