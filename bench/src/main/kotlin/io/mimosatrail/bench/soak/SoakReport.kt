package io.mimosatrail.bench.soak

import io.mimosatrail.bench.scenario.ObservedOutcome
import io.mimosatrail.bench.scenario.Violation
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Shortest gap between tokens that counts as a stall. It is the target for the longest stall that a caller may see. */
private const val STALL_MILLIS = 970L
private const val MAX_TRACKABLE_MILLIS = Long.MAX_VALUE / 2
private const val NAME_WIDTH = 28

/** Prints the results of a soak run: requests by outcome, injected faults, token gaps and violations. */
internal class SoakReport(private val tally: SoakTally, private val faultsFile: Path) {
    /**
     * Prints the report. [records] is the number of records of the application, [violations] are those that the run
     * found, and [daemonViolations] is the number that the daemons counted themselves, or negative if it is unknown.
     */
    fun print(records: Int, violations: List<Violation>, daemonViolations: Long) {
        println()
        SoakRequest.entries.forEach { println(row(it.name.lowercase() + "s", outcomes(it))) }
        println(row("records created", "$records"))
        println(row("faults", faults()))
        println(row("token gaps", gaps()))
        println(row("violations found by checks", "${violations.size}"))
        println(row("violations in metrics", if (daemonViolations < 0) "not read" else "$daemonViolations"))
        violations.forEach { println(row("  ${it.invariant}", it.detail)) }
        println("most frequent unsuccessful outcomes:")
        tally.commonFailures().forEach { println("  $it") }
    }

    private fun outcomes(request: SoakRequest): String {
        val counts = ObservedOutcome.entries.associateWith { tally.count(request, it) }.filterValues { it > 0 }
        val text = counts.entries.joinToString { "${it.key.name.lowercase().replace('_', '-')} ${it.value}" }
        return "${tally.count(request)} ($text)"
    }

    private fun faults(): String {
        if (!faultsFile.exists()) return "none"
        val kinds = faultsFile.readLines().filter { it.isNotBlank() }.groupingBy { it.substringBefore(' ') }.eachCount()
        return "${kinds.values.sum()} (${kinds.entries.joinToString { "${it.key} ${it.value}" }})"
    }

    private fun gaps(): String {
        val gaps = tally.gaps
        val stalls = gaps.getCountBetweenValues(STALL_MILLIS, minOf(gaps.highestTrackableValue, MAX_TRACKABLE_MILLIS))
        val quantiles = listOf(50.0, 95.0, 99.0).joinToString { "p${it.toInt()} ${gaps.getValueAtPercentile(it)} ms" }
        return "${gaps.totalCount}, $quantiles, longest ${gaps.maxValue} ms, stalls over $STALL_MILLIS ms: $stalls"
    }

    private fun row(name: String, value: String) = name.padEnd(NAME_WIDTH) + value
}
