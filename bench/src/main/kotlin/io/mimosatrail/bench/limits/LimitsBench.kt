package io.mimosatrail.bench.limits

import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import kotlin.time.Duration.Companion.seconds

private const val MAX_RATIO = 1.1
private const val MAX_RATIO_WHEN_CUT_OFF = 2.0

/** Accuracy and cost of workspace limits over several entries, with many workspaces, dead homes and partitions. */
internal val limitsBench = Bench(
    "limits",
    "error of workspace limits over ten entries, home alive, dead and cut off, with 10 to 9,900 workspaces",
    ::run,
)

private fun run(options: BenchOptions): List<Figure> {
    println("Time and messages are virtual; permits and limits are the code of core; cost is wall-clock time.")
    val length = if (options.quick) 10.seconds else 30.seconds
    val alive = listOf(10, 1_000, 9_900).flatMap { count ->
        val run = LimitsRun(count, options.seed) { _, _ -> false }
        run.run(length)
        figures("$count workspaces", run, options, MAX_RATIO) + costs("$count workspaces", run, options)
    }
    val homesDead = LimitsRun(10, options.seed) { _, now -> now > length / 3 }
    homesDead.run(length)
    val entriesCutOff = LimitsRun(10, options.seed) { entry, _ -> entry % 2 == 0 }
    entriesCutOff.run(length)
    return alive + figures("10 workspaces, all homes dead after a third", homesDead, options, MAX_RATIO) +
        figures("10 workspaces, half of the entries cut off", entriesCutOff, options, MAX_RATIO_WHEN_CUT_OFF)
}

private fun figures(name: String, run: LimitsRun, options: BenchOptions, maxRatio: Double): List<Figure> {
    val highest = run.highestRatio()
    return listOf(
        Figure(
            "limits",
            "$name: admitted of the limit, highest",
            "ratio",
            highest,
            null,
            maxRatio,
            highest <= maxRatio,
            options.seed,
        ),
        Figure("limits", "$name: admitted of the limit, mean", "ratio", run.meanRatio(), seed = options.seed),
    )
}

private fun costs(name: String, run: LimitsRun, options: BenchOptions) = listOf(
    Figure("limits", "$name: admission p50", "us", run.admissionMicros(50.0), seed = options.seed),
    Figure("limits", "$name: admission p99", "us", run.admissionMicros(99.0), seed = options.seed),
    Figure("limits", "$name: permit reports an entry", "1/s", run.reportsPerEntrySecond(), seed = options.seed),
    Figure("limits", "$name: bytes of permits an entry", "B/s", run.bytesPerEntrySecond(), seed = options.seed),
    Figure("limits", "$name: bytes of permits a request", "B", run.bytesPerRequest(), seed = options.seed),
)
