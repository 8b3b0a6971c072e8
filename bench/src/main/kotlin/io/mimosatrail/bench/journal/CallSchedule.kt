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
 * One randomised schedule in virtual time: three slot owners, callers that repeat calls with the same key at any
 * owner, and [faults].
 *
 * The same [seed] gives the same schedule.
 */
internal class CallSchedule(
    private val seed: Long,
    private val faults: Set<SimulatedFault>,
    defect: SimulatedDefect = SimulatedDefect.NONE,
    private val calls: Int = 60,
) {
    private val clock = CallSimulationClock()
    private val random = Random(seed)
    private val store = SimulatedStore(clock, Random(seed + 1), defect)
    private val upstream = SimulatedUpstream(clock, Random(seed + 2))
    private val violations = mutableListOf<CallInvariant>()
    private val context = SimulationContext(clock, Random(seed + 3), store, upstream, CallSettings(), violations::add)
    private val owners = Array(OWNERS) { SimulatedOwner(context, "sidecar-$it") }
    private val attempts = mutableListOf<SimulatedAttempt>()

    /** Runs the schedule and returns the answers that reached its callers and the records of the upstream. */
    fun run(): CallScheduleResult {
        owners.forEach { it.start() }
        repeat(calls) { scheduleAttempts(it) }
        scheduleFaults()
        clock.runUntil(Moment(0) + FAULT_PERIOD + RECOVERY_PERIOD)
        repeat(calls) { lastAttempt(callOf(it)) }
        clock.runUntil(Moment(0) + FAULT_PERIOD + RECOVERY_PERIOD * 2)
        return CallScheduleResult(seed, attempts, upstream.records, violations)
    }

    private fun callOf(number: Int) = SimulatedCall(keyOf(number), "report $number")

    private fun keyOf(number: Int) = ClaimKey(WorkspaceId("crews"), IdempotencyKey("key-$number"))

    private fun scheduleAttempts(number: Int) {
        val first = random.nextLong(FIRST_CALL_AFTER.inWholeMilliseconds, FAULT_PERIOD.inWholeMilliseconds).milliseconds
        var at = first
        repeat(random.nextInt(1, 5)) {
            clock.after(at) { attempt(callOf(number), random.nextLong(500, 8_000).milliseconds) }
            at += if (random.nextInt(3) == 0) 1.milliseconds else random.nextLong(1, 12_000).milliseconds
        }
        val other = SimulatedCall(keyOf(number), "other report $number")
        if (random.nextInt(10) == 0) clock.after(first + 1.seconds) { attempt(other, 3.seconds) }
    }

    private fun attempt(call: SimulatedCall, timeout: Duration) {
        val attempt = SimulatedAttempt(call, isLast = false)
        attempts += attempt
        val owner = ownerOf(call, isOwnerKnown = random.nextInt(10) < 6)
        if (isDropped()) return
        clock.after(delay()) {
            owner.receive(call, timeout) { decision -> deliver(attempt, decision) }
        }
    }

    private fun deliver(attempt: SimulatedAttempt, decision: CallDecision) {
        if (isDropped()) return
        clock.after(delay()) { attempt.decision = decision }
    }

    /** Calls as an entry does: retries if the owner refuses because the slot is moving to another owner. */
    private fun lastAttempt(call: SimulatedCall) {
        val attempt = SimulatedAttempt(call, isLast = true)
        attempts += attempt
        callUntil(clock.now + LAST_ATTEMPT_TIMEOUT, attempt)
    }

    private fun callUntil(end: Moment, attempt: SimulatedAttempt) {
        ownerOf(attempt.call, isOwnerKnown = true).receive(attempt.call, end - clock.now) { decision ->
            attempt.decision = decision
            if (attempt.isRetryable && clock.now + RETRY < end) clock.after(RETRY) { callUntil(end, attempt) }
        }
    }

    /** The owner of the call's slot if [isOwnerKnown] and the slot has one, otherwise a random owner. */
    private fun ownerOf(call: SimulatedCall, isOwnerKnown: Boolean): SimulatedOwner {
        val table = store.peek(context.keys.table)?.let { CallCodec.table(it.value) }
        val owner = table?.ownerOf(call.key.slotOf(table.slots.size))
        return owners.firstOrNull { isOwnerKnown && it.name == owner?.instance?.value } ?: owners.random(random)
    }

    private fun isDropped() = SimulatedFault.NETWORK in faults && random.nextInt(10) == 0

    private fun delay(): Duration {
        val isSlow = SimulatedFault.NETWORK in faults && random.nextInt(8) == 0
        return random.nextLong(1, if (isSlow) 6_000 else 20).milliseconds
    }

    private fun scheduleFaults() {
        if (SimulatedFault.LOST_ANSWERS in faults) store.lostReplyRatio = 0.15
        if (SimulatedFault.UPSTREAM in faults) upstream.faultRatio = 0.3
        faults.forEach { fault -> repeat(random.nextInt(3, 10)) { clock.after(randomFaultTime()) { inject(fault) } } }
        clock.after(FAULT_PERIOD) {
            store.lostReplyRatio = 0.0
            upstream.faultRatio = 0.0
        }
    }

    private fun randomFaultTime() = random.nextLong(2_000, FAULT_PERIOD.inWholeMilliseconds).milliseconds

    private fun inject(fault: SimulatedFault) {
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
        clock.after(random.nextLong(1, 5_000).milliseconds) { replace(index) }
    }

    private fun leave(index: Int) {
        val owner = owners[index]
        owner.leave()
        replaceAfterLeaving(index, owner)
    }

    private fun replaceAfterLeaving(index: Int, owner: SimulatedOwner) {
        if (!owner.process.isAlive || owners[index] !== owner) return
        if (!owner.hasLeft) return clock.after(1.seconds) { replaceAfterLeaving(index, owner) }
        owner.process.kill()
        replace(index)
    }

    private fun replace(index: Int) {
        if (owners[index].process.isAlive) return
        owners[index] = SimulatedOwner(context, "sidecar-$index").also { it.start() }
    }

    private fun outage() {
        store.isDown = true
        clock.after(random.nextLong(100, 20_000).milliseconds) { store.isDown = false }
    }

    private companion object {
        const val OWNERS = 3
        val FIRST_CALL_AFTER = 500.milliseconds
        val FAULT_PERIOD = 45.seconds
        val RECOVERY_PERIOD = 30.seconds
        val LAST_ATTEMPT_TIMEOUT = 20.seconds
        val RETRY = 400.milliseconds
    }
}
