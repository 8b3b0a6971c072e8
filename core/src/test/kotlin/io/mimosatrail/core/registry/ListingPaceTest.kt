package io.mimosatrail.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private data class PaceCase(val entries: Int, val notice: Duration, val period: Duration)

class ListingPaceTest :
    FunSpec({
        context("the registry is listed less often by many entries, within the notice of a leaving upstream") {
            withData(
                PaceCase(entries = 1, notice = 2.seconds, period = 700.milliseconds),
                PaceCase(entries = 4, notice = 2.seconds, period = 700.milliseconds),
                PaceCase(entries = 23, notice = 2.seconds, period = 1.seconds),
                PaceCase(entries = 23, notice = 3.seconds, period = 1_500.milliseconds),
                PaceCase(entries = 330, notice = 10.seconds, period = 5.seconds),
            ) { case ->
                val pace = ListingPace(case.notice, configurationBound = 2.seconds)
                pace.registryPeriod(case.entries) shouldBe case.period
                pace.registryPeriod(case.entries) * 2 shouldBeLessThanOrEqualTo case.notice
            }
        }

        test("a watch that went deaf leaves time to read within the bound") {
            ListingPace(2.seconds, 2.seconds).watchWait shouldBe 1_200.milliseconds
            ListingPace(2.seconds, 3.seconds).watchWait shouldBe 1_800.milliseconds
        }
    })
