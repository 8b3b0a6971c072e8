package io.mimosatrail.core.limits

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Admits [ratePerSecond] units per second, up to [burst] at once. Starts full.
 *
 * An amount above [burst] is admitted when the bucket is full. It leaves a negative level, so that the rate holds over
 * time.
 */
class TokenBucket(ratePerSecond: Double, burst: Double, now: Moment) {
    var ratePerSecond: Double = ratePerSecond
        private set
    var burst: Double = burst
        private set
    private var level = burst
    private var lastRefill = now

    /** Takes [amount] and returns true, or takes nothing and returns false if the level is too low. */
    fun tryTake(amount: Double, now: Moment): Boolean {
        refill(now)
        if (burst <= 0 || level < minOf(amount, burst)) return false
        level -= amount
        return true
    }

    /** Takes as much of [amount] as the level allows and returns how much that is. */
    fun takeUpTo(amount: Double, now: Moment): Double {
        refill(now)
        val taken = amount.coerceIn(0.0, level.coerceAtLeast(0.0))
        level -= taken
        return taken
    }

    /** Units available now; negative after more than that was taken or charged. */
    fun level(now: Moment): Double {
        refill(now)
        return level
    }

    /** Takes [amount] that has already been used, even if that makes the level negative. */
    fun charge(amount: Double) {
        level -= amount
    }

    /** Puts back [amount] that was taken and not used. */
    fun refund(amount: Double) {
        level = minOf(burst, level + amount)
    }

    /** Time until [amount] can be taken; infinite if the rate is zero. */
    fun timeUntil(amount: Double, now: Moment): Duration {
        refill(now)
        val missing = minOf(amount, burst) - level
        if (ratePerSecond <= 0) return Duration.INFINITE
        if (missing <= 0) return Duration.ZERO
        return 1.seconds * (missing / ratePerSecond)
    }

    /** Changes the rate and the burst. The level stays, cut to the new burst. */
    fun resize(ratePerSecond: Double, burst: Double, now: Moment) {
        refill(now)
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        level = minOf(level, burst)
    }

    private fun refill(now: Moment) {
        if (now <= lastRefill) return
        level = minOf(burst, level + ratePerSecond * (now - lastRefill).toDouble(DurationUnit.SECONDS))
        lastRefill = now
    }
}
