package io.mimosatrail.bench.soak

import io.mimosatrail.bench.scenario.ProblemBody
import io.mimosatrail.bench.scenario.Told
import io.mimosatrail.bench.scenario.ToldOutcome
import io.mimosatrail.bench.scenario.storyJson
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Longest gap that is counted, in milliseconds. */
private const val MAX_GAP_MILLIS = 600_000L
private const val DIGITS = 3
private const val MAX_DETAILS = 15
private const val MAX_DETAIL = 130

/** Counts what callers were told, by kind of request, and the gaps between the tokens that they received. */
internal class SoakTally {
    private val told = ConcurrentHashMap<ToldKind, AtomicLong>()
    private val details = ConcurrentHashMap<String, AtomicLong>()

    /** Gaps between tokens, the first token's included, in milliseconds. */
    val gaps: Histogram = ConcurrentHistogram(MAX_GAP_MILLIS, DIGITS)

    fun count(request: SoakRequest, end: Told) {
        told.computeIfAbsent(ToldKind(request, end.outcome)) { AtomicLong() }.incrementAndGet()
        if (end.outcome in answered) return
        val detail = "$request ${end.outcome} ${generalized(end.detail)}"
        details.computeIfAbsent(detail) { AtomicLong() }.incrementAndGet()
    }

    /** The most frequent ways in which requests ended otherwise than answered, with their counts. */
    fun commonDetails(): List<String> =
        details.entries.sortedByDescending { it.value.get() }.take(MAX_DETAILS).map { "${it.value} ${it.key}" }

    private fun generalized(detail: String): String {
        val problem = runCatching { storyJson.decodeFromString(ProblemBody.serializer(), detail) }.getOrNull()
        return (problem?.detail ?: detail).replace(Regex("\\d+"), "N").take(MAX_DETAIL)
    }

    fun gap(millis: Long) = gaps.recordValue(millis.coerceIn(0, MAX_GAP_MILLIS))

    fun count(request: SoakRequest): Long = told.filterKeys { it.request == request }.values.sumOf { it.get() }

    fun of(request: SoakRequest, outcome: ToldOutcome): Long = told[ToldKind(request, outcome)]?.get() ?: 0

    private companion object {
        val answered = setOf(ToldOutcome.WHOLE, ToldOutcome.RECORDED)
    }

    private data class ToldKind(val request: SoakRequest, val outcome: ToldOutcome)
}

/** Kinds of request of a soak run. */
internal enum class SoakRequest { ANSWER, REPORT, LOOKUP }
