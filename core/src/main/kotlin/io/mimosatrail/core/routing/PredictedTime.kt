package io.mimosatrail.core.routing

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val WARM_UP: Duration = 10.seconds

/** Factor on the predicted time at the start of the warm-up. */
private const val COLD_FACTOR = 4.0

/** Number of outstanding requests that doubles the predicted time. */
private const val DOUBLING_LOAD = 8.0

/** A waiting request counts as this many running ones. */
private const val WAITING_WEIGHT = 8
private const val DEFAULT_STEP_MICROS = 20_000.0

/**
 * Predicted time of a new request at an upstream, in microseconds. Compared within a layer group, and added up over the
 * stages of a chain.
 */
typealias UpstreamScore = (UpstreamRow, Moment) -> Double

/** Mean step time of the upstream, scaled up by outstanding requests and by the warm-up after a start or ejection. */
internal fun predictedTime(row: UpstreamRow, now: Moment): Double {
    val load = row.description?.load ?: return Double.MAX_VALUE
    val step = if (load.meanStepMicros > 0) load.meanStepMicros.toDouble() else DEFAULT_STEP_MICROS
    val outstanding = load.waiting * WAITING_WEIGHT + load.running + row.sentSinceReport.count(now) + 1
    return (1 + outstanding / DOUBLING_LOAD) * step * warmUpFactor(row, now)
}

private fun warmUpFactor(row: UpstreamRow, now: Moment): Double {
    val age = now - (row.servingSince ?: return COLD_FACTOR)
    if (age >= WARM_UP) return 1.0
    val progress = (age.toDouble(DurationUnit.SECONDS) / WARM_UP.toDouble(DurationUnit.SECONDS)).coerceAtLeast(0.0)
    return COLD_FACTOR - (COLD_FACTOR - 1) * progress
}
