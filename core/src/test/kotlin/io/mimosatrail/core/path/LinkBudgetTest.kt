package io.mimosatrail.core.path

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val lulea = PlaceId("lulea")
private val umea = PlaceId("umea")
private const val RATE = 1_000_000.0

class LinkBudgetTest :
    FunSpec({
        test("streams that always cross use no more than the share of one entry in a quarter of the link rate") {
            val budget = LinkBudget()
            var sent = 0.0
            for (millis in 0 until 20_000 step 10) {
                if (budget.mayCross(lulea, umea, RATE, entries = 4, Moment(0) + millis.milliseconds)) {
                    budget.take(lulea, umea, 5_000.0)
                    sent += 5_000.0
                }
            }
            sent / 20 shouldBeLessThan RATE / 4 / 4 * 1.1
        }

        test("each direction has a budget of its own") {
            val budget = LinkBudget()
            budget.mayCross(lulea, umea, RATE, 1, Moment(0)) shouldBe true
            budget.take(lulea, umea, RATE)
            budget.mayCross(lulea, umea, RATE, 1, Moment(0)) shouldBe false
            budget.mayCross(umea, lulea, RATE, 1, Moment(0)) shouldBe true
            budget.mayCross(lulea, umea, RATE, 1, Moment(0) + 4.seconds) shouldBe true
        }
    })
