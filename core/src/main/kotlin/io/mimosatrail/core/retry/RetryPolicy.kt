package io.mimosatrail.core.retry

import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a failed attempt is made again. */
sealed interface RetryDecision {
    data class Retry(val after: Duration) : RetryDecision

    /** The failure goes to the caller. */
    data object Stop : RetryDecision
}

/** One failed attempt: the [number] of attempts so far, and whether its call may run twice. */
class FailedAttempt(val number: Int, val refusal: Refusal, val isIdempotent: Boolean, val deadline: Moment)

/** Decides on retries of one entry, which alone retries. Not thread-safe. */
class RetryPolicy(
    private val budget: RetryBudget,
    private val random: Random,
    private val maxAttempts: Int = 3,
    private val firstDelay: Duration = 20.milliseconds,
    private val longestDelay: Duration = 500.milliseconds,
) {
    /** Notes the first attempt of a request. */
    fun onFirstAttempt() = budget.onFirstAttempt()

    /** Retries only what has not run or may run twice, inside the deadline and the budget. */
    fun decide(attempt: FailedAttempt, now: Moment): RetryDecision {
        if (!mayRunAgain(attempt) || !mayHelp(attempt.refusal.reason)) return RetryDecision.Stop
        if (attempt.number >= maxAttempts) return RetryDecision.Stop
        val delay = delay(attempt)
        if (now + delay >= attempt.deadline) return RetryDecision.Stop
        return if (budget.take()) RetryDecision.Retry(delay) else RetryDecision.Stop
    }

    private fun mayRunAgain(attempt: FailedAttempt): Boolean = when (attempt.refusal.outcome) {
        Outcome.NOT_RUN -> true
        Outcome.UNKNOWN, Outcome.RAN -> attempt.isIdempotent
    }

    private fun mayHelp(reason: RefusalReason): Boolean = when (reason) {
        RefusalReason.BUSY, RefusalReason.DRAINING, RefusalReason.STALE, RefusalReason.NOT_READY,
        RefusalReason.PEER_LOST, RefusalReason.UPSTREAM_ERROR, RefusalReason.NO_UPSTREAM,
        -> true

        else -> false
    }

    private fun delay(attempt: FailedAttempt): Duration {
        val cap = (firstDelay * (1 shl (attempt.number - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(longestDelay)
        return cap * random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
