package io.mimosatrail.core.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val service = ServiceId("s")
private val window = 10.seconds
private const val SLACK = 240.0
private const val WINDOW_SECONDS = 10
private const val SECONDS = 40

private fun budgets(entries: () -> Int) = RetryBudgets(ratio = 0.0, slack = SLACK, window = window, entries = entries)

private fun RetryBudgets.takeAll(now: Moment, priority: RetryPriority = RetryPriority.LAST_RESORT): Int =
    generateSequence { tryAcquire(service, now, priority) }.takeWhile { it }.count()

class RetryBudgetsTest :
    FunSpec({
        test("a rise in the number of entries reduces the share of the slack at once") {
            var entries = 4
            val budgets = budgets { entries }
            budgets.onFirstAttempt(service, Moment(0))
            entries = 24
            budgets.takeAll(Moment(0), RetryPriority.NORMAL) shouldBe (SLACK / 2 / 24 * 3 / 4).toInt()
            budgets.takeAll(Moment(0))
            budgets.usage(service, Moment(0)).used shouldBe (SLACK * 3 / 4 / 24).toLong()
        }

        // Guards against streams that are cut because refused requests have used up the retry budget.
        test("requests without an answer leave a quarter of the budget to answers that have begun") {
            val budgets = budgets { 4 }
            val share = (SLACK / 2 / 4).toInt()
            val taken = budgets.takeAll(Moment(0), RetryPriority.NORMAL)
            taken shouldBe share * 3 / 4
            budgets.takeAll(Moment(0)) shouldBeGreaterThanOrEqual share - taken
        }

        // Guards against streams that are cut at one entry while the others need no retries.
        test("streams that would be cut may use three quarters of their entry's share of the slack") {
            val budgets = budgets { 24 }
            budgets.takeAll(Moment(0), RetryPriority.NORMAL)
            budgets.takeAll(Moment(0))
            budgets.usage(service, Moment(0)).used shouldBe (SLACK * 3 / 4 / 24).toLong()
            budgets.takeAll(Moment(0) + 5.seconds) shouldBe 0
        }

        // Guards against an exceeded bound if all entries need the retries of the last resort at the same time.
        context("all entries together stay within the ratio and the slack in every window") {
            withData(nameFn = { "$it entries" }, 1, 4, 23, 120) { count ->
                val ratio = 0.2
                val all = List(count) { RetryBudgets(ratio, SLACK, window) { count } }
                val requests = LongArray(SECONDS)
                val retries = LongArray(SECONDS)
                for (second in 0 until SECONDS) {
                    val now = Moment(0) + second.seconds
                    for ((index, budgets) in all.withIndex()) {
                        repeat((index + second) % 5) {
                            budgets.onFirstAttempt(service, now)
                            requests[second]++
                        }
                        retries[second] += budgets.takeAll(now, RetryPriority.entries[(index + second) % 2]).toLong()
                    }
                }
                for (from in 0..SECONDS - WINDOW_SECONDS) {
                    val span = from until from + WINDOW_SECONDS
                    val allowed = ratio * span.sumOf { requests[it] } + SLACK
                    retries.slice(span).sum().toDouble() shouldBeLessThanOrEqual allowed
                }
            }
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
            budgets.takeAll(Moment(0) + 60.seconds, RetryPriority.NORMAL) shouldBe (SLACK / 2 * 3 / 4).toInt()
            budgets.takeAll(Moment(0) + 60.seconds) shouldBe (SLACK * 3 / 4).toInt() - (SLACK / 2 * 3 / 4).toInt()
        }
    })
