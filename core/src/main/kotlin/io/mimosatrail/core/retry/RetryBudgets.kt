package io.mimosatrail.core.retry

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * One retry budget for each service. The deployment allows [ratio] of a service's requests plus [slack] in [window],
 * over all entries; each of the [entries] takes an equal share of the slack. Half of all goes unused, so that entries
 * that restart, join or lose sight of each other stay within the bound. Not thread-safe.
 */
class RetryBudgets(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val entries: () -> Int,
) {
    private val budgets = HashMap<ServiceId, RetryWindow>()
    private var sharers = 1
    private var sharersSince: Moment? = null

    /** Notes the first send of a request. */
    fun onFirstAttempt(service: ServiceId, now: Moment) = budget(service, now).onFirstAttempt(now)

    /** Takes one more send, or answers false where none is left. */
    fun take(service: ServiceId, now: Moment): Boolean = budget(service, now).take(now)

    private fun budget(service: ServiceId, now: Moment): RetryWindow {
        val share = slack * USED_SHARE / sharers(now)
        return budgets.getOrPut(service) { RetryWindow(ratio * USED_SHARE, share, window) }.also { it.slack = share }
    }

    /** Entries that share the slack: those counted, and for a while those that are missing since. */
    private fun sharers(now: Moment): Int {
        val counted = entries().coerceAtLeast(1)
        val isOld = sharersSince?.let { now - it > window * WINDOWS_KEPT } ?: true
        if (counted >= sharers || isOld) {
            sharers = counted
            sharersSince = now
        }
        return sharers
    }

    private companion object {
        const val USED_SHARE = 0.5

        /** An entry that is missing may live on, cut off from the store, with the share that it had. */
        const val WINDOWS_KEPT = 2
    }
}
