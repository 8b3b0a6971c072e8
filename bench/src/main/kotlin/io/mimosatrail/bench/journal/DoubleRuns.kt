package io.mimosatrail.bench.journal

import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure

private const val QUICK_SCHEDULES = 40
private const val SCHEDULES = 400

private class DoubleCase(val name: String, val faults: Set<SimulatedFault>, val defect: SimulatedDefect)

private val doubleCases = listOf(
    DoubleCase("paused owners", setOf(SimulatedFault.PAUSE), SimulatedDefect.NO_SEAL),
    DoubleCase("crashed owners", setOf(SimulatedFault.CRASH), SimulatedDefect.NO_CLAIM),
    DoubleCase("all faults", SimulatedFault.entries.toSet(), SimulatedDefect.NO_SEAL),
)

/** Counts calls that ran twice, with every mechanism in place and (as the baseline) without one of them. */
internal fun doubleRuns(options: BenchOptions): List<Figure> = doubleCases.flatMap { case ->
    val seeds = options.seed until options.seed + if (options.quick) QUICK_SCHEDULES else SCHEDULES
    val whole = seeds.map { CallSchedule(it, case.faults).run() }
    val without = seeds.map { CallSchedule(it, case.faults, case.defect).run() }
    val defect = case.defect.name.lowercase().replace('_', ' ')
    listOf(
        figure(options, "double runs, ${case.name} (baseline: $defect)", whole.doubles(), without.doubles()),
        figure(options, "false not-run, ${case.name} (baseline: $defect)", whole.falseNotRun(), without.falseNotRun()),
        Figure("journal", "calls of these schedules, ${case.name}", "calls", whole.calls(), seed = options.seed),
        Figure("journal", "answered attempts, ${case.name}", "ratio", whole.answeredRatio(), seed = options.seed),
    )
}

private fun figure(options: BenchOptions, name: String, value: Double, baseline: Double) =
    Figure("journal", name, "calls", value, baseline, target = 0.0, met = value == 0.0, seed = options.seed)

private fun List<CallVerdict>.doubles() = sumOf { it.doubles }.toDouble()

private fun List<CallVerdict>.falseNotRun() = sumOf { it.falseNotRun.size }.toDouble()

private fun List<CallVerdict>.calls() = sumOf { it.attempts.distinctBy { attempt -> attempt.call.key }.size }.toDouble()

private fun List<CallVerdict>.answeredRatio() = sumOf { it.answered }.toDouble() / sumOf { it.attempts.size }
