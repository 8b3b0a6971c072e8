package io.mimosatrail.core.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L

private val start = Moment(0)

private fun policy() = RetryPolicy(RetryBudget(), Random(SEED))

private fun attempt(
    outcome: Outcome = Outcome.NOT_RUN,
    reason: RefusalReason = RefusalReason.BUSY,
    idempotent: Boolean = false,
    number: Int = 1,
    remaining: Duration = 10.seconds,
) = FailedAttempt(number, Refusal(outcome, reason, Step.SEND, null, "detail"), idempotent, start + remaining)

private data class Case(
    val outcome: Outcome,
    val reason: RefusalReason,
    val idempotent: Boolean,
    val number: Int,
    val retried: Boolean,
)

class RetryPolicyTest :
    FunSpec({
        context("which failures are retried") {
            withData(
                nameFn = { case: Case -> case.toString() },
                Case(Outcome.NOT_RUN, RefusalReason.BUSY, idempotent = false, number = 1, retried = true),
                Case(Outcome.NOT_RUN, RefusalReason.DRAINING, idempotent = false, number = 1, retried = true),
                Case(Outcome.UNKNOWN, RefusalReason.PEER_LOST, idempotent = false, number = 1, retried = false),
                Case(Outcome.RAN, RefusalReason.PEER_LOST, idempotent = false, number = 1, retried = false),
                Case(Outcome.UNKNOWN, RefusalReason.PEER_LOST, idempotent = true, number = 1, retried = true),
                Case(Outcome.NOT_RUN, RefusalReason.OVER_LIMIT, idempotent = true, number = 1, retried = false),
                Case(Outcome.NOT_RUN, RefusalReason.DEADLINE, idempotent = true, number = 1, retried = false),
                Case(Outcome.NOT_RUN, RefusalReason.BUSY, idempotent = true, number = 3, retried = false),
            ) { case ->
                val decision = policy().decide(attempt(case.outcome, case.reason, case.idempotent, case.number), start)
                (decision is RetryDecision.Retry) shouldBe case.retried
            }
        }

        test("a retry that would start after the deadline is not made") {
            policy().decide(attempt(remaining = Duration.ZERO), start) shouldBe RetryDecision.Stop
        }

        test("retries stay within a tenth of the first attempts plus the burst even if all attempts fail") {
            val policy = policy()
            var retries = 0
            repeat(1_000) {
                policy.onFirstAttempt()
                var number = 1
                while (policy.decide(attempt(number = number), start) is RetryDecision.Retry) {
                    retries++
                    number++
                }
            }
            retries shouldBeLessThanOrEqual 110
        }

        test("delays are random and bounded") {
            val policy = RetryPolicy(RetryBudget(burst = 1_000.0), Random(SEED))
            val delays = List(100) { (policy.decide(attempt(number = 2), start) as RetryDecision.Retry).after }
            delays.all { it <= 40.milliseconds } shouldBe true
            delays.distinct().size shouldBe 100
        }
    })
