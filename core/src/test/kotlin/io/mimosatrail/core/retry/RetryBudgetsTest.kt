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

private fun RetryBudgets.takeAll(now: Moment): Int = generateSequence { take(service, now) }.takeWhile { it }.count()

class RetryBudgetsTest :
    FunSpec({
        test("the share of the slack follows the number of entries, also when it is known late") {
            var entries = 4
            val budgets = budgets { entries }
            budgets.onFirstAttempt(service, Moment(0))
            entries = 24
            budgets.takeAll(Moment(0)) shouldBe (SLACK / 2 / 24).toInt()
        }

        test("entries that lose sight of each other one by one stay within the bound together") {
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

        test("an entry that stays alone has the share of one entry in the end") {
            var entries = 4
            val budgets = budgets { entries }
            budgets.takeAll(Moment(0))
            entries = 1
            budgets.takeAll(Moment(0) + 5.seconds) shouldBe 0
            budgets.takeAll(Moment(0) + 60.seconds) shouldBe (SLACK / 2).toInt()
        }
    })
