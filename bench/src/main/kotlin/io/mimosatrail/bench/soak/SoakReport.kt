package io.mimosatrail.bench.soak

import io.mimosatrail.bench.scenario.ToldOutcome
import io.mimosatrail.bench.scenario.Violation
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Gap between tokens that counts as a stall, in milliseconds: the target of the stall that a caller may see. */
private const val STALL_MILLIS = 970L
private const val MAX_GAP = Long.MAX_VALUE / 2

/** Prints what a soak run did and saw. */
internal class SoakReport(private val tally: SoakTally, private val faultsFile: Path) {
    fun print(records: Int, violations: List<Violation>, inside: Long) {
        println()
        SoakRequest.entries.forEach { println(row(it.name.lowercase() + "s", outcomes(it))) }
        println(row("records made", "$records"))
        println(row("faults", faults()))
        println(row("token gaps", gaps()))
        println(row("violations seen outside", "${violations.size}"))
        println(row("violations counted inside", if (inside < 0) "not read" else "$inside"))
        violations.forEach { println(row("  ${it.promise}", it.detail)) }
        println("ends other than answered:")
        tally.commonDetails().forEach { println("  $it") }
    }

    private fun outcomes(request: SoakRequest): String {
        val parts = ToldOutcome.entries.associateWith { tally.of(request, it) }.filterValues { it > 0 }
        val told = parts.entries.joinToString { "${it.key.name.lowercase().replace('_', '-')} ${it.value}" }
        return "${tally.count(request)} ($told)"
    }

    private fun faults(): String {
        if (!faultsFile.exists()) return "none"
        val kinds = faultsFile.readLines().filter { it.isNotBlank() }.groupingBy { it.substringBefore(' ') }.eachCount()
        return "${kinds.values.sum()} (${kinds.entries.joinToString { "${it.key} ${it.value}" }})"
    }

    private fun gaps(): String {
        val gaps = tally.gaps
        val stalls = gaps.getCountBetweenValues(STALL_MILLIS, minOf(gaps.highestTrackableValue, MAX_GAP))
        val quantiles = listOf(50.0, 95.0, 99.0).joinToString { "p${it.toInt()} ${gaps.getValueAtPercentile(it)} ms" }
        return "${gaps.totalCount}, $quantiles, longest ${gaps.maxValue} ms, stalls over $STALL_MILLIS ms: $stalls"
    }

    private fun row(name: String, value: String) = name.padEnd(28) + value
}
