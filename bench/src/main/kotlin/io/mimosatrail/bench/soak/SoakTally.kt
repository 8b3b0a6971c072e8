package io.mimosatrail.bench.soak

import io.mimosatrail.bench.scenario.ObservedOutcome
import io.mimosatrail.bench.scenario.ObservedResult
import io.mimosatrail.bench.scenario.ProblemBody
import io.mimosatrail.bench.scenario.lenientJson
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Longest gap that the histogram can hold; longer gaps are recorded as this. */
private const val MAX_GAP_MILLIS = 600_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MAX_FAILURES = 15
private const val MAX_DETAIL_CHARACTERS = 130

/** Counts requests by kind and outcome, and records the gaps between the tokens that callers received. Thread-safe. */
internal class SoakTally {
    private val outcomes = ConcurrentHashMap<OutcomeKey, AtomicLong>()
    private val failures = ConcurrentHashMap<String, AtomicLong>()

    /** Gaps between tokens in milliseconds, including the time from the request to the first token. */
    val gaps: Histogram = ConcurrentHistogram(MAX_GAP_MILLIS, SIGNIFICANT_DIGITS)

    /** Counts one result. If it is unsuccessful, it is also counted by its detail. */
    fun count(request: SoakRequest, result: ObservedResult) {
        outcomes.computeIfAbsent(OutcomeKey(request, result.outcome)) { AtomicLong() }.incrementAndGet()
        if (result.outcome in successful) return
        val detail = "$request ${result.outcome} ${generalized(result.detail)}"
        failures.computeIfAbsent(detail) { AtomicLong() }.incrementAndGet()
    }

    /** The most frequent unsuccessful outcomes, each with its count and detail. */
    fun commonFailures(): List<String> =
        failures.entries.sortedByDescending { it.value.get() }.take(MAX_FAILURES).map { "${it.value} ${it.key}" }

    /** Replaces numbers by `N`, so that details that differ only in ids or times are counted together. */
    private fun generalized(detail: String): String {
        val problem = runCatching { lenientJson.decodeFromString(ProblemBody.serializer(), detail) }.getOrNull()
        return (problem?.detail ?: detail).replace(Regex("\\d+"), "N").take(MAX_DETAIL_CHARACTERS)
    }

    fun recordGap(millis: Long) = gaps.recordValue(millis.coerceIn(0, MAX_GAP_MILLIS))

    fun count(request: SoakRequest): Long = outcomes.filterKeys { it.request == request }.values.sumOf { it.get() }

    fun count(request: SoakRequest, outcome: ObservedOutcome): Long = outcomes[OutcomeKey(request, outcome)]?.get() ?: 0

    private companion object {
        val successful = setOf(ObservedOutcome.WHOLE, ObservedOutcome.RECORDED)
    }

    private data class OutcomeKey(val request: SoakRequest, val outcome: ObservedOutcome)
}

/** Kinds of requests in a soak run. */
internal enum class SoakRequest { ANSWER, REPORT, LOOKUP }
