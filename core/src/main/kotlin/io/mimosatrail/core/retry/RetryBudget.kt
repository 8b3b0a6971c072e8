package io.mimosatrail.core.retry

/**
 * Token bucket that limits retries. Every first attempt adds [ratio] of a retry, up to [burst] retries in total; the
 * bucket starts full. Not thread-safe.
 */
class RetryBudget(private val ratio: Double = 0.1, private val burst: Double = 10.0) {
    private var tokens = burst

    /** Records a first attempt. */
    fun onFirstAttempt() {
        tokens = minOf(burst, tokens + ratio)
    }

    /** Takes one retry from the budget, or returns false if none is left. */
    fun tryAcquire(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
