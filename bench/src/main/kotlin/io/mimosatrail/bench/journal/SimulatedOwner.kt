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

/** What all simulated processes share. */
internal class SimulatedWorld(
    val time: VirtualTime,
    val random: Random,
    val store: SimulatedStore,
    val upstream: SimulatedUpstream,
    val settings: CallSettings,
    val violated: (CallInvariant) -> Unit,
) {
    val service = ServiceId("defects")
    val keys = CallKeys(service)
    private var nonces = 0L
    private var attempts = 0L

    fun nonce() = WriterNonce("n${nonces++}")

    fun attempt() = AttemptId(attempts++)
}

/** One life of a sidecar that owns slots. */
internal class SimulatedOwner(val world: SimulatedWorld, val name: String) {
    private class Arrived(val call: SimulatedCall, val reply: (CallDecision) -> Unit)

    val process = SimulatedProcess(world.time)
    private val store: StoreCall = { world.store.call(process, it) }
    private val address = PeerAddress(name, 1)
    private val session = SlotSession(world.service, InstanceId(name), address, store, world::nonce)
    private val duty = SlotLifecycle(session, world.settings, { SLOTS }, ::newJournal) { }
    private val journals = mutableListOf<ClaimJournal>()
    private val arrived = HashMap<AttemptId, Arrived>()
    private var isStepping = false

    val hasLeft: Boolean get() = duty.hasLeft

    fun start() {
        every(JOURNAL_TICK) { journals.toList().forEach { apply(it, it.tick(world.time.reading)) } }
        every(SLOT_TICK, ::step)
    }

    fun leave() = process.run { duty.leave() }

    /** Takes a call that arrives now; [reply] is called at most once. */
    fun receive(call: SimulatedCall, patience: Duration, reply: (CallDecision) -> Unit) = process.run {
        val journal = duty.current
        val attempt = CallAttempt(world.attempt(), call.key, call.hash(), world.time.now + patience)
        arrived[attempt.id] = Arrived(call, reply)
        if (journal == null) reply(notYet()) else apply(journal, journal.onCall(attempt, world.time.reading))
    }

    private fun notYet(): CallDecision = CallDecision.Refuse(
        Refusal(Outcome.NOT_RUN, RefusalReason.STALE, Step.CLAIM, InstanceId(name), "no epoch yet"),
    )

    private fun SimulatedCall.hash() = RequestHash.of("POST", "/reports", body.toByteArray())

    private fun newJournal(epoch: Epoch): ClaimJournal =
        ClaimJournal(epoch, InstanceId(name), world.settings, world::nonce, world.violated).also { journals += it }

    private fun every(period: Duration, action: () -> Unit) {
        if (!process.isAlive) return
        process.run(action)
        world.time.after(period) { every(period, action) }
    }

    private fun step() {
        if (isStepping) return
        isStepping = true
        process.launch {
            duty.step(world.time.reading.wall)
            isStepping = false
        }
    }

    private fun apply(journal: ClaimJournal, effects: List<CallEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is CallEffect.Append -> append(journal, effect)
            is CallEffect.Run -> run(journal, effect.attempt)
            is CallEffect.Reply -> arrived[effect.attempt]?.reply?.invoke(effect.decision)
            is CallEffect.EpochLost -> Unit
        }
    }

    private fun append(journal: ClaimJournal, effect: CallEffect.Append) = process.launch {
        val key = world.keys.record(journal.epoch, effect.sequence)
        val reply = store(StoreCommand.Put(key, CallCodec.encode(effect.record), expected = StoreRevision(0)))
        apply(journal, journal.onAppended(reply, world.time.reading))
    }

    /** The process may pause or end between the decision and the sending. */
    private fun run(journal: ClaimJournal, attempt: AttemptId) {
        val call = checkNotNull(arrived[attempt]).call
        world.time.after(world.random.nextLong(1, 5).milliseconds) {
            process.run {
                world.upstream.send(call) { result ->
                    process.run { apply(journal, journal.onResult(attempt, result, world.time.reading)) }
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
