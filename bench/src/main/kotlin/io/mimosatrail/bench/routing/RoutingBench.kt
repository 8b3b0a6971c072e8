package io.mimosatrail.bench.routing

import io.mimosatrail.bench.model.RoutePolicy
import io.mimosatrail.bench.model.SaturatedRun
import io.mimosatrail.bench.model.baselinePolicies
import io.mimosatrail.bench.model.predictedTimePolicy
import io.mimosatrail.bench.run.Bench
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.bench.run.LinePlot
import kotlin.time.Duration.Companion.seconds

private const val RUNNERS = 40
private const val SLOWDOWN = 10.0

/** Compares routing policies while half of the runners become ten times slower, and measures the cost of a decision. */
internal val routingBench = Bench(
    "routing",
    "policies with half of the runners slowed tenfold midway (virtual time), and the real cost of a decision",
    ::run,
)

/** Tokens per second [before] the slowdown and in each second after it; [max] is the highest rate possible after it. */
private class SlowdownResult(
    val policy: RoutePolicy,
    val before: Double,
    val max: Double,
    val perSecond: List<Double>,
) {
    /** Mean of the last third, after the streams from before the slowdown have ended. */
    val after: Double get() = perSecond.takeLast(perSecond.size / 3).average()
}

private fun run(options: BenchOptions): List<Figure> {
    println("Runners, links and time are a model in virtual time; choice and cost of decisions are the code of core.")
    val runs = (listOf(predictedTimePolicy) + baselinePolicies).map { measure(it, options) }
    plot(options, runs)
    val best = runs.drop(1).maxOf { it.after }
    return runs.flatMap { figures(it, options, best) } + decisionCosts(options)
}

private fun measure(policy: RoutePolicy, options: BenchOptions): SlowdownResult {
    val run = SaturatedRun(RUNNERS, policy, options.seed)
    run.start()
    val before = run.run(5.seconds).tokensPerSecond
    run.fleet.runners.filterIndexed { i, _ -> i / 4 % 2 == 0 }.forEach { it.slowdown = SLOWDOWN }
    val windows = List(if (options.quick) 20 else 60) { run.run(1.seconds) }
    return SlowdownResult(policy, before, windows.last().maxTokensPerSecond, windows.map { it.tokensPerSecond })
}

private fun figures(run: SlowdownResult, options: BenchOptions, best: Double): List<Figure> {
    val isProductionPolicy = run.policy === predictedTimePolicy
    val baseline = best.takeIf { isProductionPolicy }
    fun figure(label: String, unit: String, value: Double, baseline: Double? = null, met: Boolean? = null) =
        Figure("routing", "${run.policy.name}: $label", unit, value, baseline, null, met, options.seed)
    return listOf(
        figure("before the slowdown", "tokens/s", run.before),
        figure("after the slowdown", "tokens/s", run.after, baseline, baseline?.let { run.after > it }),
        figure("after the slowdown, of the bound", "ratio", run.after / run.max),
    )
}

private fun plot(options: BenchOptions, runs: List<SlowdownResult>) {
    val plot = LinePlot("Half of the runners slowed tenfold at 0 s", "s", "tokens/s")
    runs.forEach { run -> plot.line(run.policy.name, run.perSecond.indices.map { it.toDouble() }, run.perSecond) }
    plot.save(options.output, "routing")
}
