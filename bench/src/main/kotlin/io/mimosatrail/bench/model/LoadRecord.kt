package io.mimosatrail.bench.model

import org.HdrHistogram.Histogram
import kotlin.time.Duration

/** Counts and latencies of one time window. Latencies are measured from the scheduled arrival of each request. */
internal class LoadRecord {
    private val firstToken = Histogram(3)
    private val refusal = Histogram(3)

    var offered = 0
    var attempts = 0
    var refused = 0
        private set
    var tokens = 0
    var finished = 0

    /** Streams that lost a runner after their first token. */
    var interrupted = 0

    fun onFirstToken(time: Duration) = firstToken.recordValue(time.inWholeMicroseconds)

    fun onRefused(time: Duration) {
        refused++
        refusal.recordValue(time.inWholeMicroseconds)
    }

    fun firstTokenMillis(percentile: Double): Double = firstToken.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    fun refusalMillis(percentile: Double): Double = refusal.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MICROS_PER_MILLI = 1_000.0
    }
}
