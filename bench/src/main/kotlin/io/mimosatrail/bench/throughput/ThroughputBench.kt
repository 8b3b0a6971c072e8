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

/** Tokens per second at saturation, compared with the bound set by the slowest cut through the layers. */
internal val throughputBench = Bench(
    "throughput",
    "tokens/s of 40 runners of six kinds, compared with the bound of the slowest stage (virtual time, real policies)",
    ::run,
)

private fun run(options: BenchOptions): List<Figure> {
    println("Runners, links and time are simulated; the chains are chosen by the code of the core module.")
    val baselines = baselinePolicies.map { it to measure(it, options, SATURATING_STREAMS) }
    val counts = if (options.quick) listOf(10, SATURATING_STREAMS) else streamsPerRunner
    val curve = counts.associateWith { measure(predictedTimePolicy, options, it) }
    plot(options, curve)
    val bestBaseline = baselines.maxOf { it.second.tokensPerSecond }
    return curve.flatMap { (streams, throughput) ->
        figures(predictedTimePolicy, streams, throughput, options, bestBaseline)
    } + baselines.flatMap { (policy, throughput) ->
        figures(policy, SATURATING_STREAMS, throughput, options, null)
    }
}

private fun measure(policy: RoutePolicy, options: BenchOptions, streams: Int): Throughput {
    val run = SaturatedRun(RUNNERS, policy, options.seed, RUNNERS * streams)
    run.start()
    return run.run(if (options.quick) 10.seconds else 60.seconds)
}

/** Figures of one run. [bestBaseline] is the highest tokens/s of the baselines, or null if [policy] is one of them. */
private fun figures(
    policy: RoutePolicy,
    streams: Int,
    throughput: Throughput,
    options: BenchOptions,
    bestBaseline: Double?,
): List<Figure> {
    val isSaturated = bestBaseline != null && streams == SATURATING_STREAMS
    val ratioTarget = TARGET_RATIO.takeIf { isSaturated }
    val gapTarget = TARGET_GAP_MILLIS.takeIf { bestBaseline != null && streams == streamsPerRunner[1] }
    val name = "${policy.name}, $streams streams a runner"
    val ratio = throughput.ratio
    val gapMillis = throughput.p95GapMillis
    fun figure(what: String, unit: String, value: Double, baseline: Double?, target: Double?, met: Boolean?) =
        Figure("throughput", "$name: $what", unit, value, baseline, target, met, options.seed)
    return listOf(
        figure("tokens", "tokens/s", throughput.tokensPerSecond, bestBaseline.takeIf { isSaturated }, null, null),
        figure("of the bound", "ratio", ratio, null, ratioTarget, ratioTarget?.let { ratio >= it }),
        figure("p95 between tokens", "ms", gapMillis, null, gapTarget, gapTarget?.let { gapMillis <= it }),
    )
}

private fun plot(options: BenchOptions, curve: Map<Int, Throughput>) {
    val streams = curve.keys.map { it.toDouble() }
    LinePlot("Throughput over open streams", "streams a runner", "tokens/s")
        .line("reached", streams, curve.values.map { it.tokensPerSecond })
        .line("bound", streams, curve.values.map { it.maxTokensPerSecond })
        .save(options.output, "throughput")
}
