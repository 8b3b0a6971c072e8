package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.ClaimKey
import io.mimosatrail.core.calls.RunResult
import io.mimosatrail.core.calls.UpstreamAnswer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A call as the upstream sees it. */
internal data class SimulatedCall(val key: ClaimKey, val body: String)

/** A record that the upstream made; it takes no note of keys. */
internal data class SimulatedRecord(val number: Int, val call: SimulatedCall)

/** The plain service behind every owner, in virtual time. */
internal class SimulatedUpstream(private val time: VirtualTime, private val random: Random) {
    val records = mutableListOf<SimulatedRecord>()
    var faultRatio = 0.0

    fun send(call: SimulatedCall, reply: (RunResult) -> Unit) {
        if (random.nextDouble() >= faultRatio) return answer(call, delay(), reply)
        when (random.nextInt(6)) {
            0 -> time.after(delay()) { reply(RunResult.NotRun("refused")) }
            1 -> answer(call, delay() * 500, reply)
            2 -> answer(call, delay()) { result -> repeat(2) { reply(result) } }
            3 -> never(call, delay(), reply)
            4 -> never(call, TIMEOUT + delay() * 100, reply)
            else -> time.after(TIMEOUT) { reply(RunResult.Uncertain("no answer")) }
        }
    }

    private fun answer(call: SimulatedCall, delay: Duration, reply: (RunResult) -> Unit) = time.after(delay()) {
        val record = record(call)
        time.after(delay) { reply(RunResult.Answered(record.answer())) }
    }

    private fun never(call: SimulatedCall, effectAfter: Duration, reply: (RunResult) -> Unit) {
        time.after(effectAfter) { record(call) }
        time.after(TIMEOUT) { reply(RunResult.Uncertain("no answer")) }
    }

    private fun record(call: SimulatedCall) = SimulatedRecord(records.size, call).also { records += it }

    private fun SimulatedRecord.answer() = UpstreamAnswer(CREATED, emptyList(), "$number ${call.body}".toByteArray())

    private fun delay(): Duration = random.nextLong(1, 20).milliseconds

    private companion object {
        const val CREATED = 201
        val TIMEOUT = 2_000.milliseconds
    }
}
