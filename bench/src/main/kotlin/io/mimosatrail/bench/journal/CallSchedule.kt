package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallCodec
import io.mimosatrail.core.calls.CallDecision
import io.mimosatrail.core.calls.CallInvariant
import io.mimosatrail.core.calls.CallSettings
import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One randomised schedule in virtual time: three owners, callers that repeat their keys at any owner, and [faults].
 *
 * The same [seed] gives the same schedule.
 */
internal class CallSchedule(
    private val seed: Long,
    private val faults: Set<SimulatedFault>,
    defect: SimulatedDefect = SimulatedDefect.NONE,
    private val calls: Int = 60,
) {
    private val time = VirtualTime()
    private val random = Random(seed)
    private val store = SimulatedStore(time, Random(seed + 1), defect)
    private val upstream = SimulatedUpstream(time, Random(seed + 2))
    private val violations = mutableListOf<CallInvariant>()
    private val world = SimulatedWorld(time, Random(seed + 3), store, upstream, CallSettings(), violations::add)
    private val owners = Array(OWNERS) { SimulatedOwner(world, "sidecar-$it") }
    private val attempts = mutableListOf<SimulatedAttempt>()

    /** Runs the schedule and answers what its callers were told and what the upstream recorded. */
    fun run(): CallVerdict {
        owners.forEach { it.start() }
        repeat(calls) { plan(it) }
        planFaults()
        time.runUntil(Moment(0) + FAULTY + SETTLING)
        repeat(calls) { lastAttempt(callOf(it)) }
        time.runUntil(Moment(0) + FAULTY + SETTLING * 2)
        return CallVerdict(seed, attempts, upstream.records, violations)
    }

    private fun callOf(number: Int) = SimulatedCall(keyOf(number), "report $number")

    private fun keyOf(number: Int) = ClaimKey(WorkspaceId("crews"), IdempotencyKey("key-$number"))

    private fun plan(number: Int) {
        val first = random.nextLong(START.inWholeMilliseconds, FAULTY.inWholeMilliseconds).milliseconds
        var at = first
        repeat(random.nextInt(1, 5)) {
            time.after(at) { attempt(callOf(number), random.nextLong(500, 8_000).milliseconds) }
            at += if (random.nextInt(3) == 0) 1.milliseconds else random.nextLong(1, 12_000).milliseconds
        }
        val other = SimulatedCall(keyOf(number), "other report $number")
        if (random.nextInt(10) == 0) time.after(first + 1.seconds) { attempt(other, 3.seconds) }
    }

    private fun attempt(call: SimulatedCall, patience: Duration) {
        val attempt = SimulatedAttempt(call, isLast = false)
        attempts += attempt
        val owner = ownerOf(call, isKnown = random.nextInt(10) < 6)
        if (isDropped()) return
        time.after(delay()) {
            owner.receive(call, patience) { decision -> deliver(attempt, decision) }
        }
    }

    private fun deliver(attempt: SimulatedAttempt, decision: CallDecision) {
        if (isDropped()) return
        time.after(delay()) { attempt.decision = decision }
    }

    /** Asks as an entry does: again where the owner refuses since the slot is changing hands. */
    private fun lastAttempt(call: SimulatedCall) {
        val attempt = SimulatedAttempt(call, isLast = true)
        attempts += attempt
        askUntil(time.now + LAST_PATIENCE, attempt)
    }

    private fun askUntil(end: Moment, attempt: SimulatedAttempt) {
        ownerOf(attempt.call, isKnown = true).receive(attempt.call, end - time.now) { decision ->
            attempt.decision = decision
            if (attempt.isElsewhere && time.now + RETRY < end) time.after(RETRY) { askUntil(end, attempt) }
        }
    }

    private fun ownerOf(call: SimulatedCall, isKnown: Boolean): SimulatedOwner {
        val table = store.peek(world.keys.table)?.let { CallCodec.table(it.value) }
        val owner = table?.ownerOf(call.key.slotOf(table.slots.size))
        return owners.firstOrNull { isKnown && it.name == owner?.instance?.value } ?: owners.random(random)
    }

    private fun isDropped() = SimulatedFault.NETWORK in faults && random.nextInt(10) == 0

    private fun delay(): Duration {
        val isSlow = SimulatedFault.NETWORK in faults && random.nextInt(8) == 0
        return random.nextLong(1, if (isSlow) 6_000 else 20).milliseconds
    }

    private fun planFaults() {
        if (SimulatedFault.LOST_ANSWERS in faults) store.lostRatio = 0.15
        if (SimulatedFault.UPSTREAM in faults) upstream.faultRatio = 0.3
        faults.forEach { fault -> repeat(random.nextInt(3, 10)) { time.after(faultTime()) { cause(fault) } } }
        time.after(FAULTY) {
            store.lostRatio = 0.0
            upstream.faultRatio = 0.0
        }
    }

    private fun faultTime() = random.nextLong(2_000, FAULTY.inWholeMilliseconds).milliseconds

    private fun cause(fault: SimulatedFault) {
        val index = random.nextInt(OWNERS)
        when (fault) {
            SimulatedFault.PAUSE -> owners[index].process.pause(random.nextLong(500, 15_000).milliseconds)
            SimulatedFault.CRASH -> crash(index)
            SimulatedFault.LEAVE -> leave(index)
            SimulatedFault.OUTAGE -> outage()
            else -> Unit
        }
    }

    private fun crash(index: Int) {
        owners[index].process.kill()
        time.after(random.nextLong(1, 5_000).milliseconds) { replace(index) }
    }

    private fun leave(index: Int) {
        val owner = owners[index]
        owner.leave()
        replaceOnceLeft(index, owner)
    }

    private fun replaceOnceLeft(index: Int, owner: SimulatedOwner) {
        if (!owner.process.isAlive || owners[index] !== owner) return
        if (!owner.hasLeft) return time.after(1.seconds) { replaceOnceLeft(index, owner) }
        owner.process.kill()
        replace(index)
    }

    private fun replace(index: Int) {
        if (owners[index].process.isAlive) return
        owners[index] = SimulatedOwner(world, "sidecar-$index").also { it.start() }
    }

    private fun outage() {
        store.isDown = true
        time.after(random.nextLong(100, 20_000).milliseconds) { store.isDown = false }
    }

    private companion object {
        const val OWNERS = 3
        val START = 500.milliseconds
        val FAULTY = 45.seconds
        val SETTLING = 30.seconds
        val LAST_PATIENCE = 20.seconds
        val RETRY = 400.milliseconds
    }
}
