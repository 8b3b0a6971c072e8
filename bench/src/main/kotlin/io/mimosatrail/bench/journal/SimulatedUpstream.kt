package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.RunResult
import io.mimosatrail.core.calls.UpstreamAnswer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A call as received by the upstream. */
internal data class SimulatedCall(val key: ClaimKey, val body: String)

/** A record created by the upstream, which ignores keys: each run of a call creates another record. */
internal data class SimulatedRecord(val number: Int, val call: SimulatedCall)

/** The plain service that all owners call, in virtual time. */
internal class SimulatedUpstream(private val clock: CallSimulationClock, private val random: Random) {
    val records = mutableListOf<SimulatedRecord>()
    var faultRatio = 0.0

    fun send(call: SimulatedCall, reply: (RunResult) -> Unit) {
        if (random.nextDouble() >= faultRatio) return answer(call, delay(), reply)
        when (random.nextInt(6)) {
            0 -> clock.after(delay()) { reply(RunResult.NotRun("refused")) }
            1 -> answer(call, delay() * 500, reply)
            2 -> answer(call, delay()) { result -> repeat(2) { reply(result) } }
            3 -> recordWithoutAnswer(call, delay(), reply)
            4 -> recordWithoutAnswer(call, TIMEOUT + delay() * 100, reply)
            else -> clock.after(TIMEOUT) { reply(RunResult.Uncertain("no answer")) }
        }
    }

    private fun answer(call: SimulatedCall, delay: Duration, reply: (RunResult) -> Unit) = clock.after(delay()) {
        val record = record(call)
        clock.after(delay) { reply(RunResult.Answered(record.answer())) }
    }

    private fun recordWithoutAnswer(call: SimulatedCall, effectAfter: Duration, reply: (RunResult) -> Unit) {
        clock.after(effectAfter) { record(call) }
        clock.after(TIMEOUT) { reply(RunResult.Uncertain("no answer")) }
    }

    private fun record(call: SimulatedCall) = SimulatedRecord(records.size, call).also { records += it }

    private fun SimulatedRecord.answer() = UpstreamAnswer(CREATED, emptyList(), "$number ${call.body}".toByteArray())

    private fun delay(): Duration = random.nextLong(1, 20).milliseconds

    private companion object {
        const val CREATED = 201
        val TIMEOUT = 2_000.milliseconds
    }
}
