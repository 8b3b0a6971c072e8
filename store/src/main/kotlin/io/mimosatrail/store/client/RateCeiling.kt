package io.mimosatrail.store.client

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Token bucket that hands out places in order: a call learns how long it has to wait for its own. */
internal class RateCeiling(private val perSecond: Double, burstSeconds: Double, private val maxWait: Duration) {
    private val burst = (perSecond * burstSeconds).coerceAtLeast(1.0)
    private var tokens = burst
    private var updated: Moment? = null

    /** Takes a place at [now]; answers the wait until it, or null where that would be over the longest wait. */
    @Synchronized
    fun take(now: Moment): Duration? {
        refill(now)
        val wait = ((1 - tokens) / perSecond).coerceAtLeast(0.0).seconds
        if (wait > maxWait) return null
        tokens -= 1
        return wait
    }

    private fun refill(now: Moment) {
        val elapsed = updated?.let { now - it } ?: Duration.ZERO
        updated = now
        tokens = (tokens + elapsed.inWholeMicroseconds / 1e6 * perSecond).coerceAtMost(burst)
    }
}
