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
private const val SLOWNESS = 10.0

/** Policies against each other with half of the runners slowed tenfold midway, and the cost of a decision. */
internal val routingBench = Bench(
    "routing",
    "policies with half of the runners slowed tenfold midway (virtual time), and the real cost of a decision",
    ::run,
)

private class SlowedRun(val policy: RoutePolicy, val before: Double, val bound: Double, val perSecond: List<Double>) {
    /** Mean of the last third, when streams from before the slowdown have ended. */
    val after: Double get() = perSecond.takeLast(perSecond.size / 3).average()
}

private fun run(options: BenchOptions): List<Figure> {
    println("Runners, links and time are a model in virtual time; choice and cost of decisions are the code of core.")
    val runs = (listOf(predictedTimePolicy) + baselinePolicies).map { measure(it, options) }
    plot(options, runs)
    val best = runs.drop(1).maxOf { it.after }
    return runs.flatMap { figures(it, options, best) } + decisionCosts(options)
}

private fun measure(policy: RoutePolicy, options: BenchOptions): SlowedRun {
    val run = SaturatedRun(RUNNERS, policy, options.seed)
    run.start()
    val before = run.run(5.seconds).tokensPerSecond
    run.fleet.runners.filterIndexed { i, _ -> i / 4 % 2 == 0 }.forEach { it.slowness = SLOWNESS }
    val windows = List(if (options.quick) 20 else 60) { run.run(1.seconds) }
    return SlowedRun(policy, before, windows.last().boundTokensPerSecond, windows.map { it.tokensPerSecond })
}

private fun figures(run: SlowedRun, options: BenchOptions, best: Double): List<Figure> {
    val isOurs = run.policy === predictedTimePolicy
    val baseline = best.takeIf { isOurs }
    fun figure(what: String, unit: String, value: Double, baseline: Double? = null, met: Boolean? = null) =
        Figure("routing", "${run.policy.name}: $what", unit, value, baseline, null, met, options.seed)
    return listOf(
        figure("before the slowdown", "tokens/s", run.before),
        figure("after the slowdown", "tokens/s", run.after, baseline, baseline?.let { run.after > it }),
        figure("after the slowdown, of the bound", "ratio", run.after / run.bound),
    )
}

private fun plot(options: BenchOptions, runs: List<SlowedRun>) {
    val plot = LinePlot("Half of the runners slowed tenfold at 0 s", "s", "tokens/s")
    runs.forEach { run -> plot.line(run.policy.name, run.perSecond.indices.map { it.toDouble() }, run.perSecond) }
    plot.save(options.output, "routing")
}
