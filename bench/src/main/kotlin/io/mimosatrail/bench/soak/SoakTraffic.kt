package io.mimosatrail.bench.soak

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.scenario.InvariantChecker
import io.mimosatrail.bench.scenario.ObservedOutcome
import io.mimosatrail.bench.scenario.ObservedResult
import io.mimosatrail.bench.scenario.RequestSender
import io.mimosatrail.bench.scenario.ScenarioStep
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark

private const val ANSWER_LOOPS = 6
private const val REPORT_LOOPS = 4
private const val LOOKUP_LOOPS = 2
private const val REPORT_ATTEMPTS = 5
private const val REPORT_TIMEOUT_SECONDS = 10
private const val MIN_TOKENS = 10
private const val MAX_TOKENS = 120
private val maxPause = 300.milliseconds

/** Mixed traffic until [end]: model requests, reports (resent until they are answered) and lookups. */
internal class SoakTraffic(
    private val layout: SoakLayout,
    private val seed: Long,
    private val end: TimeMark,
    private val tally: SoakTally,
    checker: InvariantChecker,
    caller: Caller,
) {
    private val requests = RequestSender(caller, checker)

    /** Sends requests until [end] and then waits for those in flight. */
    suspend fun run() = coroutineScope {
        repeat(ANSWER_LOOPS) { loop(it) { random, number -> answer(random, "answer-$it-$number") } }
        repeat(REPORT_LOOPS) { loop(100 + it) { random, number -> report(random, "report-$it-$number") } }
        repeat(LOOKUP_LOOPS) { loop(200 + it) { random, number -> lookUp(random, "switch-$it-$number") } }
    }

    /** Repeats [act] until [end]. Each loop has its own [seedOffset], so that its random numbers are reproducible. */
    private fun CoroutineScope.loop(seedOffset: Int, act: suspend (Random, Int) -> Unit) = launch(Dispatchers.IO) {
        val random = Random(seed * 1_000 + seedOffset)
        var number = 0
        while (end.hasNotPassedNow()) {
            act(random, number++)
            delay(random.pause())
        }
    }

    private fun answer(random: Random, name: String) {
        val tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS)
        val step = ScenarioStep.Ask(name, "", layout.model, "Heater log $name at Kiruna", tokens)
        val meter = TokenGapMeter(tally)
        val result = requests.ask(entry(random), step, layout.modelLayers) { meter.onText() }
        tally.count(SoakRequest.ANSWER, result)
    }

    private suspend fun report(random: Random, key: String) {
        var attempt = 0
        do {
            val step = ScenarioStep.Report(key, "", layout.service, key, "heater is cold", REPORT_TIMEOUT_SECONDS)
            val result = requests.report(entry(random), step)
            tally.count(SoakRequest.REPORT, result)
            attempt++
            val isResent = mayResend(result, random) && attempt < REPORT_ATTEMPTS
            if (isResent) delay(random.pause())
        } while (isResent)
    }

    /** A caller resends a report that was not answered, and at random one in ten of those that were. */
    private fun mayResend(result: ObservedResult, random: Random) =
        result.outcome != ObservedOutcome.RECORDED || random.nextInt(10) == 0

    private fun lookUp(random: Random, name: String) {
        val result = requests.lookUp(entry(random), ScenarioStep.LookUp(name, "", layout.service, name))
        tally.count(SoakRequest.LOOKUP, result)
    }

    private fun entry(random: Random) = layout.entries.random(random)

    private fun Random.pause(): Duration = maxPause * nextDouble()
}

/** Records the gaps between the pieces of one answer, starting with the time to the first piece. */
private class TokenGapMeter(private val tally: SoakTally) {
    private var lastNanos = System.nanoTime()

    fun onText() {
        val now = System.nanoTime()
        tally.recordGap((now - lastNanos) / 1_000_000)
        lastNanos = now
    }
}
