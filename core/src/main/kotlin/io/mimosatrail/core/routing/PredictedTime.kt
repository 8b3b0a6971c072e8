package io.mimosatrail.core.routing

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val WARM_UP: Duration = 10.seconds
private const val COLD_FACTOR = 4.0
private const val STEADY_BATCH = 8.0
private const val WAITING_WEIGHT = 8
private const val DEFAULT_STEP_MICROS = 20_000.0

/** Predicted time of new work at an upstream, in microseconds; compared only with others of the same group. */
typealias UpstreamScore = (UpstreamRow, Moment) -> Double

/** Outstanding work times the upstream's own step time, raised while the upstream is new or recovered. */
internal fun predictedTime(row: UpstreamRow, now: Moment): Double {
    val load = row.description?.load ?: return Double.MAX_VALUE
    val step = if (load.meanStepMicros > 0) load.meanStepMicros.toDouble() else DEFAULT_STEP_MICROS
    val outstanding = load.waiting * WAITING_WEIGHT + load.running + row.sent.count(now) + 1
    return (1 + outstanding / STEADY_BATCH) * step * coldness(row, now)
}

private fun coldness(row: UpstreamRow, now: Moment): Double {
    val age = now - (row.servingSince ?: return COLD_FACTOR)
    if (age >= WARM_UP) return 1.0
    val warmth = (age.toDouble(DurationUnit.SECONDS) / WARM_UP.toDouble(DurationUnit.SECONDS)).coerceAtLeast(0.0)
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmth
}
