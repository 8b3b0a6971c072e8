package io.mimosatrail.bench.throughput

import io.mimosatrail.bench.model.RoutePolicy
import io.mimosatrail.bench.model.SATURATING_STREAMS
import io.mimosatrail.bench.model.SaturatedRun
import io.mimosatrail.bench.model.Throughput
import io.mimosatrail.bench.model.baselinePolicies
import io.mimosatrail.bench.model.predictedTimePolicy
import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.bench.run.LinePlot
import kotlin.time.Duration.Companion.seconds

private const val RUNNERS = 40
private const val TARGET_RATIO = 0.9
private const val TARGET_GAP_MILLIS = 43.0
private val streamsPerRunner = listOf(5, 10, 20, 40, 70, SATURATING_STREAMS, 150)

/** Tokens a second at saturation against the bound of the slowest cut through the layers. */
internal val throughputBench = Bench(
    "throughput",
    "tokens/s of 40 runners of six kinds against the bound of the slowest stage (virtual time, real policies)",
    ::run,
)

private fun run(options: BenchOptions): List<Figure> {
    println("Runners, links and time are a model in virtual time; the choice of chains is the code of core.")
    val baselines = baselinePolicies.map { it to measure(it, options, SATURATING_STREAMS) }
    val counts = if (options.quick) listOf(10, SATURATING_STREAMS) else streamsPerRunner
    val curve = counts.associateWith { measure(predictedTimePolicy, options, it) }
    plot(options, curve)
    val best = baselines.maxOf { it.second.tokensPerSecond }
    return curve.flatMap { (streams, reached) -> figures(predictedTimePolicy, streams, reached, options, best) } +
        baselines.flatMap { (policy, reached) -> figures(policy, SATURATING_STREAMS, reached, options, null) }
}

private fun measure(policy: RoutePolicy, options: BenchOptions, streams: Int): Throughput {
    val run = SaturatedRun(RUNNERS, policy, options.seed, RUNNERS * streams)
    run.start()
    return run.run(if (options.quick) 10.seconds else 60.seconds)
}

private fun figures(
    policy: RoutePolicy,
    streams: Int,
    reached: Throughput,
    options: BenchOptions,
    best: Double?,
): List<Figure> {
    val isSaturated = best != null && streams == SATURATING_STREAMS
    val target = TARGET_RATIO.takeIf { isSaturated }
    val gapTarget = TARGET_GAP_MILLIS.takeIf { best != null && streams == streamsPerRunner[1] }
    val name = "${policy.name}, $streams streams a runner"
    fun figure(what: String, unit: String, value: Double, baseline: Double?, goal: Double?, met: Boolean?) =
        Figure("throughput", "$name: $what", unit, value, baseline, goal, met, options.seed)
    return listOf(
        figure("tokens", "tokens/s", reached.tokensPerSecond, best.takeIf { isSaturated }, null, null),
        figure("of the bound", "ratio", reached.ratio, null, target, target?.let { reached.ratio >= it }),
        figure(
            "p95 between tokens",
            "ms",
            reached.p95GapMillis,
            null,
            gapTarget,
            gapTarget?.let {
                reached.p95GapMillis <= it
            },
        ),
    )
}

private fun plot(options: BenchOptions, curve: Map<Int, Throughput>) {
    val streams = curve.keys.map { it.toDouble() }
    LinePlot("Throughput over open streams", "streams a runner", "tokens/s")
        .line("reached", streams, curve.values.map { it.tokensPerSecond })
        .line("bound", streams, curve.values.map { it.maxTokensPerSecond })
        .save(options.output, "throughput")
}
