package io.mimosatrail.core.retry

import io.mimosatrail.core.id.ServiceId

/**
 * One retry budget for each service. The deployment allows [ratio] of a service's requests plus [slack] in a window,
 * over all entries; each entry takes an equal share of the slack, and half of it goes unused so that entries that
 * restart or join stay within the bound.
 */
class RetryBudgets(private val ratio: Double, private val slack: Double, private val entries: () -> Int) {
    private val budgets = HashMap<ServiceId, RetryBudget>()

    /** Notes the first send of a request. */
    fun onFirstAttempt(service: ServiceId) = budget(service).onFirstAttempt()

    /** Takes one more send, or answers false where none is left. */
    fun take(service: ServiceId): Boolean = budget(service).take()

    private fun budget(service: ServiceId): RetryBudget = budgets.getOrPut(service) {
        RetryBudget(ratio * USED_SHARE, slack * USED_SHARE / entries().coerceAtLeast(1))
    }

    private companion object {
        const val USED_SHARE = 0.5
    }
}
