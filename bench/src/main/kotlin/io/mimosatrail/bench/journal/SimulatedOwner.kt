package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.AttemptId
import io.mimosatrail.core.calls.CallAttempt
import io.mimosatrail.core.calls.CallCodec
import io.mimosatrail.core.calls.CallDecision
import io.mimosatrail.core.calls.CallEffect
import io.mimosatrail.core.calls.CallInvariant
import io.mimosatrail.core.calls.CallKeys
import io.mimosatrail.core.calls.CallSettings
import io.mimosatrail.core.calls.ClaimJournal
import io.mimosatrail.core.calls.RequestHash
import io.mimosatrail.core.calls.SlotLifecycle
import io.mimosatrail.core.calls.SlotSession
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Clock, store, upstream and settings shared by all simulated processes, and the source of their identifiers. */
internal class SimulationContext(
    val clock: CallSimulationClock,
    val random: Random,
    val store: SimulatedStore,
    val upstream: SimulatedUpstream,
    val settings: CallSettings,
    val onViolation: (CallInvariant) -> Unit,
) {
    val service = ServiceId("defects")
    val keys = CallKeys(service)
    private var nonceCount = 0L
    private var attemptCount = 0L

    fun nextNonce() = WriterNonce("n${nonceCount++}")

    fun nextAttemptId() = AttemptId(attemptCount++)
}

/** A sidecar process that owns slots, from its start to its end; a replacement is a new object. */
internal class SimulatedOwner(val context: SimulationContext, val name: String) {
    private class PendingCall(val call: SimulatedCall, val reply: (CallDecision) -> Unit)

    val process = SimulatedProcess(context.clock)
    private val store: StoreCall = { context.store.call(process, it) }
    private val address = PeerAddress(name, 1)
    private val session = SlotSession(context.service, InstanceId(name), address, store, context::nextNonce)
    private val lifecycle = SlotLifecycle(session, context.settings, { SLOTS }, ::newJournal) { }
    private val journals = mutableListOf<ClaimJournal>()
    private val pendingCalls = HashMap<AttemptId, PendingCall>()
    private var isStepping = false

    val hasLeft: Boolean get() = lifecycle.hasLeft

    fun start() {
        every(JOURNAL_TICK) { journals.toList().forEach { apply(it, it.tick(context.clock.callTime)) } }
        every(SLOT_TICK, ::step)
    }

    fun leave() = process.run { lifecycle.leave() }

    /** Handles a call that arrives now, with a deadline after [timeout]. Calls [reply] at most once. */
    fun receive(call: SimulatedCall, timeout: Duration, reply: (CallDecision) -> Unit) = process.run {
        val journal = lifecycle.current
        val attempt = CallAttempt(context.nextAttemptId(), call.key, call.hash(), context.clock.now + timeout)
        pendingCalls[attempt.id] = PendingCall(call, reply)
        if (journal == null) {
            reply(noEpochRefusal())
        } else {
            apply(journal, journal.onCall(attempt, context.clock.callTime))
        }
    }

    private fun noEpochRefusal(): CallDecision = CallDecision.Refuse(
        Refusal(Outcome.NOT_RUN, RefusalReason.STALE, Step.CLAIM, InstanceId(name), "no epoch yet"),
    )

    private fun SimulatedCall.hash() = RequestHash.of("POST", "/reports", body.toByteArray())

    private fun newJournal(epoch: Epoch): ClaimJournal =
        ClaimJournal(epoch, InstanceId(name), context.settings, context::nextNonce, context.onViolation)
            .also { journals += it }

    private fun every(period: Duration, action: () -> Unit) {
        if (!process.isAlive) return
        process.run(action)
        context.clock.after(period) { every(period, action) }
    }

    private fun step() {
        if (isStepping) return
        isStepping = true
        process.launch {
            lifecycle.step(context.clock.callTime.wall)
            isStepping = false
        }
    }

    private fun apply(journal: ClaimJournal, effects: List<CallEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is CallEffect.Append -> append(journal, effect)
            is CallEffect.Run -> run(journal, effect.attempt)
            is CallEffect.Reply -> pendingCalls[effect.attempt]?.reply?.invoke(effect.decision)
            is CallEffect.EpochLost -> Unit
        }
    }

    private fun append(journal: ClaimJournal, effect: CallEffect.Append) = process.launch {
        val key = context.keys.record(journal.epoch, effect.sequence)
        val reply = store(StoreCommand.Put(key, CallCodec.encode(effect.record), expected = StoreRevision(0)))
        apply(journal, journal.onAppended(reply, context.clock.callTime))
    }

    /** Sends the call after a short delay, so that the process may pause or end between the decision and the send. */
    private fun run(journal: ClaimJournal, attempt: AttemptId) {
        val call = checkNotNull(pendingCalls[attempt]).call
        context.clock.after(context.random.nextLong(1, 5).milliseconds) {
            process.run {
                context.upstream.send(call) { result ->
                    process.run { apply(journal, journal.onResult(attempt, result, context.clock.callTime)) }
                }
            }
        }
    }

    companion object {
        const val SLOTS = 8
        private val JOURNAL_TICK = 50.milliseconds
        private val SLOT_TICK = 1.seconds
    }
}
