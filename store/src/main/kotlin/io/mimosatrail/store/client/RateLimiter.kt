package io.mimosatrail.store.client

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Token bucket whose tokens can be reserved ahead of time: each call takes one token and waits until that token is
 * available. Calls are served in the order of their reservations.
 */
internal class RateLimiter(private val perSecond: Double, burstSeconds: Double, private val maxWait: Duration) {
    private val burst = (perSecond * burstSeconds).coerceAtLeast(1.0)

    /** Negative if tokens are reserved that are not available yet. */
    private var tokens = burst
    private var lastRefill: Moment? = null

    /**
     * Reserves one token at [now] and returns how long the caller has to wait for it. Returns null and reserves nothing
     * if the wait would be longer than [maxWait].
     */
    @Synchronized
    fun reserve(now: Moment): Duration? {
        refill(now)
        val wait = ((1 - tokens) / perSecond).coerceAtLeast(0.0).seconds
        if (wait > maxWait) return null
        tokens -= 1
        return wait
    }

    private fun refill(now: Moment) {
        val elapsed = lastRefill?.let { now - it } ?: Duration.ZERO
        lastRefill = now
        tokens = (tokens + elapsed.inWholeMicroseconds / 1e6 * perSecond).coerceAtMost(burst)
    }
}
