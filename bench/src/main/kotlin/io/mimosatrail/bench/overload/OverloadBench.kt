package io.mimosatrail.bench.overload

import io.mimosatrail.bench.model.GatedRun
import io.mimosatrail.bench.model.LoadRecord
import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.bench.run.LinePlot
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val RUNNERS = 40
private const val MAX_REFUSED_RATIO_WITHIN_CAPACITY = 0.01
private const val TARGET_GOODPUT_RATIO = 0.9
private const val TARGET_FIRST_TOKEN_MILLIS = 970.0
private const val TARGET_REFUSAL_MILLIS = 50.0
private const val TARGET_UPSTREAM_RATIO = 1.2
private const val TARGET_RECOVERY_SECONDS = 10.0

/** Load at twice the capacity, recovery after such a peak, and the loss of a third of the runners. */
internal val overloadBench = Bench(
    "overload",
    "goodput, first token and refusals at twice the capacity, and load on upstreams as a third fail (virtual time)",
    ::run,
)

private class Overload(private val options: BenchOptions) {
    private val window: Duration = if (options.quick) 10.seconds else 30.seconds
    private val rates = if (options.quick) listOf(60.0, 120.0, 180.0, 240.0) else (1..11).map { it * 30.0 }

    fun figures(): List<Figure> {
        val curve = rates.associateWith { measureSteadyLoad(it) }
        curve.forEach { (rate, record) -> println(summary(rate, record)) }
        val peak = curve.values.maxBy { it.goodput }
        val capacity =
            curve.filterValues { it.refused <= MAX_REFUSED_RATIO_WITHIN_CAPACITY * it.offered }.keys.maxOrNull()
                ?: rates.first()
        val atTwice = measureSteadyLoad(2 * capacity)
        plot(curve + (2 * capacity to atTwice))
        val figures = listOf(
            figure("peak goodput", "tokens/s", peak.goodput),
            figure("capacity, with at most 1% refused", "requests/s", capacity),
            figure(
                "goodput at twice that, of the peak",
                "ratio",
                atTwice.goodput / peak.goodput,
                TARGET_GOODPUT_RATIO,
                false,
            ),
            figure("p95 first token at twice", "ms", atTwice.firstTokenMillis(95.0), TARGET_FIRST_TOKEN_MILLIS),
            figure("p95 refusal at twice", "ms", atTwice.refusalMillis(95.0), TARGET_REFUSAL_MILLIS),
            figure("p50 refusal at twice", "ms", atTwice.refusalMillis(50.0)),
            figure("refused at twice", "ratio", atTwice.refused.toDouble() / atTwice.offered),
            figure("upstream load at twice, of offered", "ratio", atTwice.attempts.toDouble() / atTwice.offered),
        )
        return figures + recoveryTime(capacity) + failures(capacity)
    }

    private fun summary(rate: Double, record: LoadRecord) =
        "offered %.0f/s: %.0f tokens/s, %.3f refused, p95 first token %.0f ms".format(
            rate,
            record.goodput,
            record.refused.toDouble() / record.offered,
            record.firstTokenMillis(95.0),
        )

    private val LoadRecord.goodput: Double get() = tokens / window.toDouble(DurationUnit.SECONDS)

    private fun measureSteadyLoad(rate: Double): LoadRecord {
        val run = GatedRun(RUNNERS, options.seed)
        run.run(rate, 20.seconds)
        return run.run(rate, window)
    }

    /**
     * Seconds from the end of the peak to the end of the first second without refusals and with the first-token latency
     * within its target; 99 if there is none within 30 s.
     */
    private fun recoveryTime(capacity: Double): Figure {
        val run = GatedRun(RUNNERS, options.seed)
        run.run(2 * capacity, 20.seconds)
        val seconds = (1..30).firstOrNull {
            val second = run.run(capacity / 2, 1.seconds)
            second.refused == 0 && second.firstTokenMillis(95.0) <= TARGET_FIRST_TOKEN_MILLIS
        }
        return figure("normal after the peak", "s", (seconds ?: 99).toDouble(), TARGET_RECOVERY_SECONDS)
    }

    private fun failures(capacity: Double): List<Figure> {
        val run = GatedRun(RUNNERS, options.seed)
        run.run(capacity / 2, 10.seconds)
        run.fleet.runners.filterIndexed { i, _ -> i % 3 == 1 }.forEach { it.crash() }
        val after = run.run(capacity / 2, window)
        return listOf(
            figure(
                "upstream load as a third fail, of offered",
                "ratio",
                after.attempts.toDouble() / after.offered,
                TARGET_UPSTREAM_RATIO,
            ),
            figure("refused as a third fail", "ratio", after.refused.toDouble() / after.offered),
            figure("p95 first token as a third fail", "ms", after.firstTokenMillis(95.0)),
            figure("streams open on failed runners", "streams", after.interrupted.toDouble()),
        )
    }

    private fun figure(
        name: String,
        unit: String,
        value: Double,
        target: Double? = null,
        isUpperLimit: Boolean = true,
    ): Figure {
        val met = target?.let { if (isUpperLimit) value <= it else value >= it }
        return Figure("overload", name, unit, value, target = target, met = met, seed = options.seed)
    }

    private fun plot(curve: Map<Double, LoadRecord>) {
        LinePlot("Goodput over offered load", "requests/s offered", "tokens/s")
            .line("goodput", curve.keys.toList(), curve.values.map { it.goodput })
            .save(options.output, "overload")
    }
}

private fun run(options: BenchOptions): List<Figure> {
    println("Runners, links and time are a model in virtual time; admission, routing and retries are the code of core.")
    return Overload(options).figures()
}
