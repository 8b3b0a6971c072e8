package io.mimosatrail.core.retry

/** Bounds retries to [ratio] of the first attempts, and [reserve] at once. Not thread-safe. */
class RetryBudget(private val ratio: Double = 0.1, private val reserve: Double = 10.0) {
    private var level = reserve

    /** Notes a first attempt. */
    fun onFirstAttempt() {
        level = minOf(reserve, level + ratio)
    }

    /** Takes one retry, or answers false where none is left. */
    fun take(): Boolean {
        if (level < 1) return false
        level -= 1
        return true
    }
}
