package io.mimosatrail.core.retry

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * One retry budget for each service. The deployment allows [ratio] of a service's requests plus [slack] in [window],
 * over all entries; each of the [entries] takes an equal share of the slack. Half of all goes unused, so that entries
 * that restart or join stay within the bound.
 */
class RetryBudgets(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration,
    private val entries: () -> Int,
) {
    private val budgets = HashMap<ServiceId, RetryWindow>()

    /** Notes the first send of a request. */
    fun onFirstAttempt(service: ServiceId, now: Moment) = budget(service).onFirstAttempt(now)

    /** Takes one more send, or answers false where none is left. */
    fun take(service: ServiceId, now: Moment): Boolean = budget(service).take(now)

    private fun budget(service: ServiceId): RetryWindow = budgets.getOrPut(service) {
        RetryWindow(ratio * USED_SHARE, slack * USED_SHARE / entries().coerceAtLeast(1), window)
    }

    private companion object {
        const val USED_SHARE = 0.5
    }
}
