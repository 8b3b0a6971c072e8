package io.mimosatrail.gateway.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

private fun at(millis: Int) = Moment(0) + millis.milliseconds

class TickIntervalsTest :
    FunSpec({
        context("the longest interval since a moment") {
            data class Case(val name: String, val ticks: List<Int>, val since: Int, val now: Int, val longest: Int)
            withData(
                nameFn = { case: Case -> case.name },
                Case("no tick yet", emptyList(), since = 0, now = 500, longest = 0),
                Case("all on time", listOf(0, 20, 40, 60), since = 30, now = 65, longest = 20),
                Case("a late one in between", listOf(0, 20, 170, 190), since = 10, now = 195, longest = 150),
                Case(
                    "a late one that had begun earlier",
                    listOf(0, 20, 170, 190),
                    since = 100,
                    now = 195,
                    longest = 150,
                ),
                Case(
                    "a late one that had ended earlier",
                    listOf(0, 150, 170, 190),
                    since = 150,
                    now = 195,
                    longest = 20,
                ),
                Case("a late one that lasts", listOf(0, 20, 40), since = 30, now = 640, longest = 600),
                Case("many ticks later", (0..10_000 step 20).toList(), since = 9_990, now = 10_005, longest = 20),
            ) { case ->
                val intervals = TickIntervals { at(case.now) }
                case.ticks.forEach { intervals.tick(at(it)) }
                intervals.longest(at(case.since)) shouldBe case.longest.milliseconds
            }
        }
    })
