package io.mimosatrail.core.calls

import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.SlotId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.time.Moment

/**
 * Ensures that a slot owner sends each non-idempotent call at most once during [epoch], and only after the call's claim
 * is stored. Does no I/O: each function takes an event and returns the effects that the host must carry out.
 *
 * [onViolation] is called when an internal invariant is found violated; the affected calls are refused.
 */
class ClaimJournal(
    val epoch: Epoch,
    self: InstanceId,
    private val settings: CallSettings,
    nonces: () -> WriterNonce,
    private val onViolation: (CallInvariant) -> Unit,
) {
    private val claims = ClaimTable(settings)
    private val writer = JournalWriter(settings, nonces)
    private val refuse = CallRefusals(self)
    private val slots = mutableSetOf<SlotId>()
    private var slotCount = 1
    private var isDraining = false

    /** True once another process has sealed the journal: this epoch may no longer append records or send calls. */
    @Volatile
    var isLost = false
        private set

    /** True when no call is pending and every outcome is stored, or can no longer be because the epoch is lost. */
    val isIdle: Boolean
        @Synchronized get() = claims.pending.isEmpty() && (writer.isEmpty || isLost)

    /** Starts serving [added] out of [total] slots; [history] holds the earlier claims of the added slots. */
    @Synchronized
    fun addSlots(added: Set<SlotId>, total: Int, history: ClaimHistory) {
        slots += added
        slotCount = total
        claims.add(history)
    }

    /** The slots that this journal serves now. */
    @Synchronized
    fun servedSlots(): Set<SlotId> = slots.toSet()

    /** Sets how many owners share the service's write budget, [CallSettings.writesPerSecond]. */
    @Synchronized
    fun setOwnerCount(owners: Int) {
        writer.owners = owners
    }

    /** Sequence of the oldest record if its retention has expired at [wall]; null if no record may be deleted. */
    @Synchronized
    fun oldestExpiredSequence(wall: WallTime): Long? =
        writer.oldestBefore(wall - settings.retention).takeUnless { isLost }

    /** Called after the record at [sequence], the oldest one, was deleted from the store. */
    @Synchronized
    fun onDeleted(sequence: Long) = writer.onDeleted(sequence)

    /** Refuses calls with new keys from now on; calls that repeat a known key are still answered. */
    @Synchronized
    fun startDraining() {
        isDraining = true
    }

    /** Accepts calls with new keys again. */
    @Synchronized
    fun stopDraining() {
        isDraining = false
    }

    /** Handles a call that arrived: claims a new key, and answers or queues a repeated one. */
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
        val created = Claim(attempt.key, attempt.hash, ClaimState.Queued, time.wall)
        created.waiters += attempt
        claims.addPending(created)
        writer.queue(created)
        return flush(time)
    }

    /** Handles the store's [reply] to the pending [CallEffect.Append]. */
    @Synchronized
    fun onAppended(reply: StoreReply, time: CallTime): List<CallEffect> = when (reply) {
        is StoreReply.Written -> onWritten(time)
        is StoreReply.Conflict -> onConflict(reply, time)
        is StoreReply.NotDone -> onNotDone(time)
        else -> retryLater(time)
    }

    /** Handles the upstream's [result] of the call sent for [attempt]; a second result is ignored. */
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

    /** Refuses attempts whose deadline has passed, removes claims past retention and appends the next record if due. */
    @Synchronized
    fun tick(time: CallTime): List<CallEffect> {
        claims.removeBefore(time.wall - settings.retention)
        val refused = if (writer.isStalled(time.now)) refuseUnsent() else emptyList()
        return refused + claims.pending.toList().flatMap { expire(it, time.now) } + flush(time)
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
        val effects = writer.onStored().flatMap { send(it, time.now) }
        return effects + flush(time)
    }

    private fun send(claim: Claim, now: Moment): List<CallEffect> {
        val attempt = claim.waiters.firstOrNull { it.deadline > now } ?: return releaseUnsent(claim, now)
        val violation = when {
            claim.state !is ClaimState.Writing -> CallInvariant.SENT_WITHOUT_CLAIM
            claim.sentAttempt != null -> CallInvariant.SENT_TWICE
            else -> null
        }
        if (violation != null) {
            onViolation(violation)
            return takeWaiters(claim).map { reply(it, refuse.invariant()) }
        }
        claims.onSent(claim, attempt.id)
        return listOf(CallEffect.Run(attempt.id))
    }

    /** Releases a stored claim whose attempts have all expired; its call is never sent. */
    private fun releaseUnsent(claim: Claim, now: Moment): List<CallEffect> =
        onReleased(claim, refuse.expiredBeforeSend(), now)

    private fun onConflict(reply: StoreReply.Conflict, time: CallTime): List<CallEffect> {
        val current = reply.current ?: return retryLater(time)
        val ownNonce = writer.pending?.append?.record?.nonce
        val record = CallCodec.record(current.value)
        if (record is JournalRecord.Batch && record.nonce == ownNonce) return onWritten(time)
        if (record is JournalRecord.Batch) onViolation(CallInvariant.FOREIGN_BATCH)
        return onLost(time.now)
    }

    private fun onLost(now: Moment): List<CallEffect> {
        isLost = true
        val unsent = writer.onNotStored(now) + writer.withdrawAll()
        return unsent.flatMap { refuseAll(it, refuse.stale()) } + CallEffect.EpochLost
    }

    private fun onNotDone(time: CallTime): List<CallEffect> {
        if (writer.pending?.isUncertain == true) return retryLater(time)
        return writer.onNotStored(time.now).flatMap { refuseAll(it, refuse.storeUnavailable()) }
    }

    private fun retryLater(time: CallTime): List<CallEffect> {
        val pending = writer.pending ?: return emptyList()
        pending.isUncertain = true
        pending.retryAt = time.now + settings.storeRetryDelay
        return emptyList()
    }

    private fun onAnswered(claim: Claim, answer: UpstreamAnswer, time: CallTime): List<CallEffect> {
        val sentAttempt = claim.sentAttempt
        claims.complete(claim, ClaimState.Answered(answer), time.wall)
        val stored = (claim.state as? ClaimState.Answered)?.answer
        writer.queue(JournalEntry.Answered(claim.key, claim.hash, stored), time.now)
        return takeWaiters(claim).map {
            CallEffect.Reply(it.id, CallDecision.Answer(answer, replayed = it.id != sentAttempt))
        }
    }

    private fun onReleased(claim: Claim, refusal: Refusal, now: Moment): List<CallEffect> {
        writer.queue(JournalEntry.Released(claim.key), now)
        return refuseAll(claim, refusal)
    }

    private fun onUnknown(claim: Claim, refusal: Refusal, wall: WallTime): List<CallEffect> {
        claims.complete(claim, ClaimState.Unknown, wall)
        return takeWaiters(claim).map { reply(it, refusal) }
    }

    /** Refuses all attempts whose call is not sent yet, since the store does not reply; their calls are never sent. */
    private fun refuseUnsent(): List<CallEffect> {
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
        writer.pending?.claims?.forEach { it.state = ClaimState.Writing }
        return listOf(append)
    }

    private fun replay(attempt: CallAttempt, answer: UpstreamAnswer?): CallEffect = if (answer == null) {
        reply(attempt, refuse.ranWithoutAnswer())
    } else {
        CallEffect.Reply(attempt.id, CallDecision.Answer(answer, replayed = true))
    }

    private fun reply(attempt: CallAttempt, refusal: Refusal): CallEffect =
        CallEffect.Reply(attempt.id, CallDecision.Refuse(refusal))
}
