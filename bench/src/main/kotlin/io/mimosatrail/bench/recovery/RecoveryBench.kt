package io.mimosatrail.bench.recovery

import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import org.HdrHistogram.Histogram

private const val BENCH = "recovery"
private const val TARGET_MILLIS = 970.0
private const val TRIALS = 200
private const val QUICK_TRIALS = 40
private const val MICROS_PER_MILLI = 1_000.0
private val promptTokens = listOf(200, 2_000, 8_000)
private val quantiles = listOf("p50" to 50.0, "p95" to 95.0, "p99" to 99.0)

/** Longest gap between tokens when a stage crashes during an answer, in virtual time with the real tables of `core`. */
val recoveryBench = Bench(
    BENCH,
    "stall when a stage dies mid-answer, by way of recovery, prompt length and link speed (virtual time)",
    ::measure,
)

private class CaseResult(val case: RecoveryCase, val stalls: Histogram, val wrongAnswers: Int)

private fun measure(options: BenchOptions): List<Figure> {
    val cases = promptTokens.flatMap { prompt ->
        LinkSpeed.entries.flatMap { link -> Strategy.entries.map { RecoveryCase(prompt, link, it) } }
    }
    val results = cases.map { measure(it, options) }
    val baselines = results.filter { it.case.strategy == Strategy.RESTART }
    return results.flatMap { result -> figures(result, baselineOf(result, baselines), options.seed) } +
        wrongAnswersFigure(results, options.seed)
}

private fun measure(case: RecoveryCase, options: BenchOptions): CaseResult {
    val stalls = Histogram(3)
    var wrongAnswers = 0
    repeat(if (options.quick) QUICK_TRIALS else TRIALS) { trial ->
        val result = StallTrial(case, options.seed + trial).run()
        stalls.recordValue(result.stall.inWholeMicroseconds)
        if (!result.isAnswerCorrect) wrongAnswers++
    }
    println("recovery: ${case.name} p95 %.0f ms".format(stalls.millisAt(95.0)))
    return CaseResult(case, stalls, wrongAnswers)
}

private fun baselineOf(result: CaseResult, baselines: List<CaseResult>): CaseResult = baselines.first {
    it.case.promptTokens == result.case.promptTokens && it.case.link == result.case.link
}

private fun figures(result: CaseResult, baseline: CaseResult, seed: Long): List<Figure> = quantiles.map { (name, at) ->
    val value = result.stalls.millisAt(at)
    val hasTarget = name == "p95" && result.case.strategy == Strategy.REPLACE
    Figure(
        BENCH,
        "${result.case.name}-$name",
        "ms",
        value,
        baseline = baseline.stalls.millisAt(at),
        target = TARGET_MILLIS.takeIf { hasTarget },
        met = (value <= TARGET_MILLIS).takeIf { hasTarget },
        seed = seed,
    )
}

private fun wrongAnswersFigure(results: List<CaseResult>, seed: Long): Figure {
    val wrong = results.sumOf { it.wrongAnswers }
    return Figure(BENCH, "answers-not-whole", "answers", wrong.toDouble(), target = 0.0, met = wrong == 0, seed = seed)
}

private fun Histogram.millisAt(percentile: Double): Double = getValueAtPercentile(percentile) / MICROS_PER_MILLI
