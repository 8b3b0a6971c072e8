package io.mimosatrail.bench.soak

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.scenario.Ledger
import io.mimosatrail.bench.scenario.Requests
import io.mimosatrail.bench.scenario.ScenarioStep
import io.mimosatrail.bench.scenario.Told
import io.mimosatrail.bench.scenario.ToldOutcome
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
private val longestPause = 300.milliseconds

/** Mixed traffic until [end]: answers, reports sent again until they are answered, and lookups. */
internal class SoakTraffic(
    private val layout: SoakLayout,
    private val seed: Long,
    private val end: TimeMark,
    private val tally: SoakTally,
    ledger: Ledger,
    caller: Caller,
) {
    private val requests = Requests(caller, ledger)

    /** Sends until [end] and then waits for what is in flight. */
    suspend fun run() = coroutineScope {
        repeat(ANSWER_LOOPS) { loop(it) { random, number -> answer(random, "answer-$it-$number") } }
        repeat(REPORT_LOOPS) { loop(100 + it) { random, number -> report(random, "report-$it-$number") } }
        repeat(LOOKUP_LOOPS) { loop(200 + it) { random, number -> lookUp(random, "switch-$it-$number") } }
    }

    private fun CoroutineScope.loop(stream: Int, act: suspend (Random, Int) -> Unit) = launch(Dispatchers.IO) {
        val random = Random(seed * 1_000 + stream)
        var number = 0
        while (end.hasNotPassedNow()) {
            act(random, number++)
            delay(random.pause())
        }
    }

    private fun answer(random: Random, name: String) {
        val tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS)
        val step = ScenarioStep.Ask(name, "", layout.model, "Heater log $name at Kiruna", tokens)
        val clock = GapClock(tally)
        val told = requests.ask(entry(random), step, layout.modelLayers) { clock.onText() }
        tally.count(SoakRequest.ANSWER, told)
    }

    private suspend fun report(random: Random, key: String) {
        var attempt = 0
        do {
            val step = ScenarioStep.Report(key, "", layout.service, key, "heater is cold", REPORT_TIMEOUT_SECONDS)
            val told = requests.report(entry(random), step)
            tally.count(SoakRequest.REPORT, told)
            attempt++
            val again = sendsAgain(told, random) && attempt < REPORT_ATTEMPTS
            if (again) delay(random.pause())
        } while (again)
    }

    /** A caller repeats a report without a certain end, and now and then one that was answered. */
    private fun sendsAgain(told: Told, random: Random) = told.outcome != ToldOutcome.RECORDED || random.nextInt(10) == 0

    private fun lookUp(random: Random, name: String) {
        val told = requests.lookUp(entry(random), ScenarioStep.LookUp(name, "", layout.service, name))
        tally.count(SoakRequest.LOOKUP, told)
    }

    private fun entry(random: Random) = layout.entries.random(random)

    private fun Random.pause(): Duration = longestPause * nextDouble()
}

/** Measures the gaps between the pieces of one answer. */
private class GapClock(private val tally: SoakTally) {
    private var last = System.nanoTime()

    fun onText() {
        val now = System.nanoTime()
        tally.gap((now - last) / 1_000_000)
        last = now
    }
}
