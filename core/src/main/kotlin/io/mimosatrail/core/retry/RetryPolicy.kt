package io.mimosatrail.core.retry

import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether to retry a failed attempt. */
sealed interface RetryDecision {
    /** Retry once the delay [after] has passed. */
    data class Retry(val after: Duration) : RetryDecision

    /** Don't retry; return the failure to the caller. */
    data object Stop : RetryDecision
}

/** A failed attempt of a call. [number] counts the attempts so far, this one included; the first has number 1. */
class FailedAttempt(val number: Int, val refusal: Refusal, val isIdempotent: Boolean, val deadline: Moment)

/**
 * Decides which failed attempts an entry retries, with random exponential backoff. Entries are the only processes that
 * retry. Not thread-safe.
 */
class RetryPolicy(
    private val budget: RetryBudget,
    private val random: Random,
    private val maxAttempts: Int = 3,
    private val firstDelay: Duration = 20.milliseconds,
    private val maxDelay: Duration = 500.milliseconds,
) {
    /** Records the first attempt of a request. */
    fun onFirstAttempt() = budget.onFirstAttempt()

    /**
     * Retries a call that has not run or is idempotent, if another attempt may succeed, and as long as the maximum of
     * attempts, the deadline and the budget allow it.
     */
    fun decide(attempt: FailedAttempt, now: Moment): RetryDecision {
        if (!mayRunAgain(attempt) || !isRetryable(attempt.refusal.reason)) return RetryDecision.Stop
        if (attempt.number >= maxAttempts) return RetryDecision.Stop
        val delay = delay(attempt)
        if (now + delay >= attempt.deadline) return RetryDecision.Stop
        return if (budget.tryAcquire()) RetryDecision.Retry(delay) else RetryDecision.Stop
    }

    private fun mayRunAgain(attempt: FailedAttempt): Boolean = when (attempt.refusal.outcome) {
        Outcome.NOT_RUN -> true
        Outcome.UNKNOWN, Outcome.RAN -> attempt.isIdempotent
    }

    private fun isRetryable(reason: RefusalReason): Boolean = when (reason) {
        RefusalReason.BUSY, RefusalReason.DRAINING, RefusalReason.STALE, RefusalReason.NOT_READY,
        RefusalReason.PEER_LOST, RefusalReason.UPSTREAM_ERROR, RefusalReason.NO_UPSTREAM,
        -> true

        else -> false
    }

    private fun delay(attempt: FailedAttempt): Duration {
        val cap = (firstDelay * (1 shl (attempt.number - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(maxDelay)
        return cap * random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
