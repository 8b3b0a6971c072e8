package io.mimosatrail.bench.soak

import io.mimosatrail.bench.scenario.ToldOutcome
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Longest gap that is counted, in milliseconds. */
private const val MAX_GAP_MILLIS = 600_000L
private const val DIGITS = 3

/** Counts what callers were told, by kind of request, and the gaps between the tokens that they received. */
internal class SoakTally {
    private val told = ConcurrentHashMap<ToldKind, AtomicLong>()

    /** Gaps between tokens, the first token's included, in milliseconds. */
    val gaps: Histogram = ConcurrentHistogram(MAX_GAP_MILLIS, DIGITS)

    fun count(request: SoakRequest, outcome: ToldOutcome) {
        told.computeIfAbsent(ToldKind(request, outcome)) { AtomicLong() }.incrementAndGet()
    }

    fun gap(millis: Long) = gaps.recordValue(millis.coerceIn(0, MAX_GAP_MILLIS))

    fun count(request: SoakRequest): Long = told.filterKeys { it.request == request }.values.sumOf { it.get() }

    fun of(request: SoakRequest, outcome: ToldOutcome): Long = told[ToldKind(request, outcome)]?.get() ?: 0

    private data class ToldKind(val request: SoakRequest, val outcome: ToldOutcome)
}

/** Kinds of request of a soak run. */
internal enum class SoakRequest { ANSWER, REPORT, LOOKUP }
