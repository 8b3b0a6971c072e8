package io.mimosatrail.core.retry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204
private const val RUNS = 40
private const val WINDOW_MILLIS = 10_000

class RetryWindowTest :
    FunSpec({
        test("no time span of the window's length contains more retries than the bound allows") {
            val random = Random(SEED)
            repeat(RUNS) { run ->
                withClue("seed $SEED, run $run") {
                    val window = RetryWindow(ratio = 0.2, slack = 20.0, WINDOW_MILLIS.milliseconds)
                    val firstAttempts = mutableListOf<Int>()
                    val retries = mutableListOf<Int>()
                    var millis = 0
                    while (millis < 40_000) {
                        millis += random.nextInt(1, if (random.nextInt(40) == 0) 6_000 else 60)
                        val now = Moment(0) + millis.milliseconds
                        if (random.nextBoolean()) {
                            window.onFirstAttempt(now)
                            firstAttempts += millis
                        }
                        if (window.tryAcquire(now)) retries += millis
                    }
                    for (end in retries) {
                        val from = end - WINDOW_MILLIS
                        val counted = firstAttempts.count { it > from - WINDOW_MILLIS / 2 && it <= end }
                        retries.count { it in from + 1..end }.toDouble() shouldBeLessThanOrEqual 0.2 * counted + 20.0
                    }
                }
            }
        }

        test("the slack is available again once the window has passed") {
            val window = RetryWindow(ratio = 0.0, slack = 5.0, 10.seconds)
            (1..9).count { window.tryAcquire(Moment(0)) } shouldBe 5
            (1..9).count { window.tryAcquire(Moment(0) + 12.seconds) } shouldBe 5
        }

        context("all entries together stay within a part of the deployment's budget") {
            data class Case(val priorities: List<RetryPriority>, val part: Double)
            withData(
                nameFn = { case: Case -> case.toString() },
                Case(listOf(RetryPriority.NORMAL), 0.5 * 0.75),
                Case(listOf(RetryPriority.LAST_RESORT), 0.75),
                Case(listOf(RetryPriority.NORMAL, RetryPriority.LAST_RESORT), 0.75),
                Case(listOf(RetryPriority.LAST_RESORT, RetryPriority.NORMAL), 0.75),
            ) { (priorities, part) ->
                val entries = List(4) { RetryBudgets(0.2, 198.0, 10.seconds) { 4 } }
                val taken = priorities.sumOf { priority ->
                    entries.sumOf { budgets ->
                        (1..200).count { budgets.tryAcquire(ServiceId("s"), Moment(0), priority) }
                    }
                }
                taken.toDouble() shouldBeLessThanOrEqual 198 * part
                taken shouldBeGreaterThanOrEqual (198 * part).toInt() - 9
            }
        }
    })
