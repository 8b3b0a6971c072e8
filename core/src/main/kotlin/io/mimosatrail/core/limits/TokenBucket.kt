package io.mimosatrail.core.limits

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Lets [ratePerSecond] units a second through, up to [burst] at once. Starts full.
 *
 * An amount over [burst] passes when the bucket is full and leaves a debt, so that the rate holds over time.
 */
class TokenBucket(ratePerSecond: Double, burst: Double, now: Moment) {
    var ratePerSecond: Double = ratePerSecond
        private set
    var burst: Double = burst
        private set
    private var level = burst
    private var at = now

    /** Takes [amount], or nothing and false where too little is there. */
    fun take(amount: Double, now: Moment): Boolean {
        fill(now)
        if (burst <= 0 || level < minOf(amount, burst)) return false
        level -= amount
        return true
    }

    /** Takes as much of [amount] as is there and answers how much. */
    fun takeUpTo(amount: Double, now: Moment): Double {
        fill(now)
        val taken = amount.coerceIn(0.0, level.coerceAtLeast(0.0))
        level -= taken
        return taken
    }

    /** What is there now; below zero while a debt is paid. */
    fun level(now: Moment): Double {
        fill(now)
        return level
    }

    /** Takes [amount] that has already been used, even where that leaves a debt. */
    fun charge(amount: Double) {
        level -= amount
    }

    /** Puts back what was taken and not used. */
    fun giveBack(amount: Double) {
        level = minOf(burst, level + amount)
    }

    /** Time until [amount] can be taken; infinite where it never can. */
    fun timeUntil(amount: Double, now: Moment): Duration {
        fill(now)
        val missing = minOf(amount, burst) - level
        if (ratePerSecond <= 0) return Duration.INFINITE
        if (missing <= 0) return Duration.ZERO
        return 1.seconds * (missing / ratePerSecond)
    }

    /** Changes the limits and keeps the level, as far as it fits. */
    fun resize(ratePerSecond: Double, burst: Double, now: Moment) {
        fill(now)
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = minOf(level, burst)
    }

    private fun fill(now: Moment) {
        if (now <= at) return
        level = minOf(burst, level + ratePerSecond * (now - at).toDouble(DurationUnit.SECONDS))
        at = now
    }
}
