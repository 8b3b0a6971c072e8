package io.mimosatrail.core.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Most requests with the part that may reach engines once the entries have had time to react. */
private const val MAX_LATE_REQUESTS = 3
private const val SEEDS = 20

private data class StormCase(val entries: Int, val engines: Int, val perSecond: Int, val badOneIn: Int)

class CrashStormTest :
    FunSpec({
        // Guards against requests of one kind that crash one engine after the other.
        context("requests with a part under which engines crash stop reaching engines, others are not refused") {
            withData(
                StormCase(entries = 4, engines = 10, perSecond = 50, badOneIn = 20),
                StormCase(entries = 4, engines = 10, perSecond = 50, badOneIn = 100),
                StormCase(entries = 23, engines = 14, perSecond = 150, badOneIn = 20),
                StormCase(entries = 23, engines = 14, perSecond = 150, badOneIn = 200),
            ) { case ->
                for (seed in 1..SEEDS) {
                    val storm = CrashStorm(case.entries, case.engines, case.perSecond, case.badOneIn, seed)
                    storm.run(length = 40.seconds)
                    withClue("seed $seed") {
                        storm.lateBadRequests shouldBeLessThanOrEqual MAX_LATE_REQUESTS
                        storm.refusedSoundRequests shouldBe 0
                    }
                }
            }
        }
    })
