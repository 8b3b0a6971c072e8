package io.mimosatrail.core.retry

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Retry budgets of this entry, one for each service. In any [window], all entries together may retry at most [ratio] of
 * a service's requests plus [slack]. Every entry gets an equal share of the slack, according to the number of [entries]
 * that it sees. Normally only half of the budget is handed out, so that the bound also holds while entries restart,
 * join or can't see each other. Retries of [RetryPriority.LAST_RESORT] may use half as much again of the slack. Not
 * thread-safe.
 */
class RetryBudgets(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val entries: () -> Int,
) {
    private val budgets = HashMap<ServiceId, RetryWindow>()
    private var assumedEntries = 1
    private var assumedSince: Moment? = null

    /** Records the first attempt of a request. */
    fun onFirstAttempt(service: ServiceId, now: Moment) = budget(service, now).onFirstAttempt(now)

    /**
     * Takes one retry from the budget of [service], or returns false if none is left. A part of the budget is reserved
     * for [RetryPriority.LAST_RESORT].
     */
    fun tryAcquire(service: ServiceId, now: Moment, priority: RetryPriority): Boolean {
        val budget = budget(service, now)
        return when (priority) {
            RetryPriority.NORMAL -> budget.tryAcquire(now, reserved = RESERVED_FRACTION)
            RetryPriority.LAST_RESORT -> budget.tryAcquire(now, extraSlack = budget.slack * LAST_RESORT_EXTRA)
        }
    }

    /** Retries of [service] in the current window and how many of them this entry may make. */
    fun usage(service: ServiceId, now: Moment): RetryUsage = budget(service, now).usage(now)

    private fun budget(service: ServiceId, now: Moment): RetryWindow {
        val share = slack * USED_FRACTION / assumedEntries(now)
        return budgets.getOrPut(service) { RetryWindow(ratio * USED_FRACTION, share, window) }.also { it.slack = share }
    }

    /** Number of entries that share the slack. A rise counts at once, a fall after [WINDOWS_BEFORE_FALL] windows. */
    private fun assumedEntries(now: Moment): Int {
        val visible = entries().coerceAtLeast(1)
        val isOutdated = assumedSince?.let { now - it > window * WINDOWS_BEFORE_FALL } ?: true
        if (visible >= assumedEntries || isOutdated) {
            assumedEntries = visible
            assumedSince = now
        }
        return assumedEntries
    }

    private companion object {
        const val USED_FRACTION = 0.5
        const val RESERVED_FRACTION = 0.25
        const val LAST_RESORT_EXTRA = 0.5

        /** An entry that is no longer visible may still run without the store and use its previous share. */
        const val WINDOWS_BEFORE_FALL = 2
    }
}
