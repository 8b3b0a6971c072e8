package io.mimosatrail.core.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val service = ServiceId("s")
private val window = 10.seconds
private const val SLACK = 240.0

private fun budgets(entries: () -> Int) = RetryBudgets(ratio = 0.0, slack = SLACK, window = window, entries = entries)

private fun RetryBudgets.takeAll(now: Moment): Int =
    generateSequence { tryAcquire(service, now) }.takeWhile { it }.count()

class RetryBudgetsTest :
    FunSpec({
        test("a rise in the number of entries reduces the share of the slack at once") {
            var entries = 4
            val budgets = budgets { entries }
            budgets.onFirstAttempt(service, Moment(0))
            entries = 24
            budgets.takeAll(Moment(0)) shouldBe (SLACK / 2 / 24).toInt()
        }

        // Guards against streams that are cut because refused requests have used up the retry budget.
        test("requests without an answer leave a quarter of the budget to answers that have begun") {
            val budgets = budgets { 4 }
            val share = (SLACK / 2 / 4).toInt()
            val taken = generateSequence {
                budgets.tryAcquire(service, Moment(0), hasBegun = false)
            }.takeWhile { it }.count()
            taken shouldBe share * 3 / 4
            budgets.takeAll(Moment(0)) shouldBe share - taken
        }

        test("entries that stop seeing each other one by one stay within the common bound") {
            val count = 4
            var visible = count
            val all = List(count) { budgets { visible } }
            var taken = 0
            for (millis in 0 until 10_000 step 100) {
                visible = (count - millis / 2_500).coerceAtLeast(1)
                taken += all.sumOf { it.takeAll(Moment(0) + millis.milliseconds) }
            }
            taken shouldBeLessThanOrEqual SLACK.toInt()
        }

        test("an entry that remains alone gets the share of a single entry after some time") {
            var entries = 4
            val budgets = budgets { entries }
            budgets.takeAll(Moment(0))
            entries = 1
            budgets.takeAll(Moment(0) + 5.seconds) shouldBe 0
            budgets.takeAll(Moment(0) + 60.seconds) shouldBe (SLACK / 2).toInt()
        }
    })
