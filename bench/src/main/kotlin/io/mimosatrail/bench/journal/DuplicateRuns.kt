package io.mimosatrail.bench.journal

import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure

private const val QUICK_SCHEDULES = 40
private const val SCHEDULES = 400

private class DuplicateRunCase(val name: String, val faults: Set<SimulatedFault>, val defect: SimulatedDefect)

private val duplicateRunCases = listOf(
    DuplicateRunCase("paused owners", setOf(SimulatedFault.PAUSE), SimulatedDefect.NO_SEAL),
    DuplicateRunCase("crashed owners", setOf(SimulatedFault.CRASH), SimulatedDefect.NO_CLAIM),
    DuplicateRunCase("all faults", SimulatedFault.entries.toSet(), SimulatedDefect.NO_SEAL),
)

/** Counts calls that ran more than once, with every mechanism in place and (as the baseline) with one disabled. */
internal fun duplicateRuns(options: BenchOptions): List<Figure> = duplicateRunCases.flatMap { case ->
    val seeds = options.seed until options.seed + if (options.quick) QUICK_SCHEDULES else SCHEDULES
    val results = seeds.map { CallSchedule(it, case.faults).run() }
    val defective = seeds.map { CallSchedule(it, case.faults, case.defect).run() }
    val defect = case.defect.name.lowercase().replace('_', ' ')
    listOf(
        figure(options, "double runs, ${case.name} (baseline: $defect)", results.duplicates(), defective.duplicates()),
        figure(
            options,
            "false not-run, ${case.name} (baseline: $defect)",
            results.falseNotRun(),
            defective.falseNotRun(),
        ),
        Figure("journal", "calls of these schedules, ${case.name}", "calls", results.calls(), seed = options.seed),
        Figure("journal", "answered attempts, ${case.name}", "ratio", results.answeredRatio(), seed = options.seed),
    )
}

private fun figure(options: BenchOptions, name: String, value: Double, baseline: Double) =
    Figure("journal", name, "calls", value, baseline, target = 0.0, met = value == 0.0, seed = options.seed)

private fun List<CallScheduleResult>.duplicates() = sumOf { it.duplicates }.toDouble()

private fun List<CallScheduleResult>.falseNotRun() = sumOf { it.falseNotRun.size }.toDouble()

private fun List<CallScheduleResult>.calls() =
    sumOf { it.attempts.distinctBy { attempt -> attempt.call.key }.size }.toDouble()

private fun List<CallScheduleResult>.answeredRatio() = sumOf { it.answered }.toDouble() / sumOf { it.attempts.size }
