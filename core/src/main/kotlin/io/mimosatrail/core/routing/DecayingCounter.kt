package io.mimosatrail.core.routing

import io.mimosatrail.core.time.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Counts recent requests. The count decays by [halfLife]. */
internal class DecayingCounter(private val halfLife: Duration = 4.seconds) {
    private var value = 0.0
    private var updatedAt: Moment? = null

    fun add(now: Moment) {
        value = count(now) + 1
        updatedAt = now
    }

    /** Takes back one request. */
    fun remove(now: Moment) {
        value = (count(now) - 1).coerceAtLeast(0.0)
        updatedAt = now
    }

    fun reset() {
        value = 0.0
    }

    fun count(now: Moment): Double {
        if (value == 0.0) return 0.0
        val age = updatedAt?.let { now - it } ?: return 0.0
        return value * 0.5.pow(age.toDouble(DurationUnit.SECONDS) / halfLife.toDouble(DurationUnit.SECONDS))
    }
}
