package io.mimosatrail.core.limits

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 20
private val LENGTH = 30.seconds
private const val WINDOW_SECONDS = 4
private const val TOLERANCE_FACTOR = 1.5
private const val TOLERANCE_REQUESTS = 5
private val start = Moment(0)
private val self = InstanceId("edge-1")
private val peer = InstanceId("edge-2")
private val upstream = LimitedUpstream.upstream

/** Entries that want to send [perSecond] requests a second in all to an upstream that accepts [limit]. */
private data class Load(
    val entries: Int,
    val limit: Double,
    val perSecond: Double,
    val activeEntries: Int = entries,
    val shiftAfter: Duration = Duration.INFINITE,
    val hasRestarts: Boolean = false,
) {
    fun upstream(seed: Int) = LimitedUpstream(
        limit,
        Demand(perSecond, List(entries) { if (it < activeEntries) 1.0 else 0.0 }, shiftAfter),
        hasRestarts,
        seed,
    )
}

private fun twoEntries() = SharedRates(self, { setOf(self, peer) }, { 2 })

private fun report(perSecond: Double?, ageMillis: Long, recentSends: Double = 0.0) =
    RateReport(upstream, perSecond, ageMillis, recentSends)

class SharedRatesTest :
    FunSpec({
        // Guards against entries that together send more requests than an upstream announced to accept.
        context("in any 4 s an upstream gets at most one and a half times its limit and 5 requests more") {
            withData(
                Load(entries = 1, limit = 7.6, perSecond = 40.0),
                Load(entries = 4, limit = 7.6, perSecond = 15.0),
                Load(entries = 4, limit = 7.6, perSecond = 40.0, activeEntries = 1),
                Load(entries = 4, limit = 7.6, perSecond = 40.0, activeEntries = 1, shiftAfter = 3.seconds),
                Load(entries = 4, limit = 0.5, perSecond = 40.0),
                Load(entries = 4, limit = 0.0, perSecond = 40.0),
                Load(entries = 4, limit = 6.0, perSecond = 40.0, hasRestarts = true),
                Load(entries = 23, limit = 14.0, perSecond = 60.0, activeEntries = 7),
                Load(entries = 23, limit = 3.0, perSecond = 60.0, activeEntries = 7, shiftAfter = 4.seconds),
                Load(entries = 23, limit = 3.0, perSecond = 200.0, hasRestarts = true),
                Load(entries = 120, limit = 12.0, perSecond = 300.0),
            ) { load ->
                val allowed = load.limit * WINDOW_SECONDS * TOLERANCE_FACTOR + TOLERANCE_REQUESTS
                for (seed in 1..SEEDS) {
                    withClue("seed $seed") {
                        load.upstream(seed).play(LENGTH).toDouble() shouldBeLessThanOrEqual allowed
                    }
                }
            }
        }

        context("a limit is used to at least two thirds if the demand exceeds it") {
            withData(
                Load(entries = 1, limit = 7.6, perSecond = 40.0),
                Load(entries = 4, limit = 7.6, perSecond = 40.0),
                Load(entries = 4, limit = 7.6, perSecond = 40.0, activeEntries = 1),
                Load(entries = 23, limit = 14.0, perSecond = 60.0, activeEntries = 7),
            ) { load ->
                for (seed in 1..SEEDS) {
                    val played = load.upstream(seed)
                    played.play(LENGTH)
                    withClue("seed $seed") {
                        played.sent.toDouble() shouldBeGreaterThanOrEqual load.limit * LENGTH.inWholeSeconds * 2 / 3
                    }
                }
            }
        }

        test("a demand below the limit is served almost whole") {
            for (seed in 1..SEEDS) {
                val played = Load(entries = 4, limit = 10.0, perSecond = 5.0).upstream(seed)
                played.play(LENGTH)
                withClue("seed $seed") { played.sent.toDouble() shouldBeGreaterThanOrEqual played.wanted * 0.85 }
            }
        }

        test("an upstream without a limit gets all requests") {
            val rates = twoEntries()
            repeat(100) { rates.onSend(upstream, start) }
            rates.maySend(upstream, start) shouldBe true
        }

        test("only limited upstreams without room are exhausted") {
            val rates = twoEntries()
            val full = InstanceId("i-full")
            rates.onAnswer(full, 1.0, start, start)
            rates.onAnswer(upstream, 8.0, start, start)
            val now = start + 3.seconds
            while (rates.maySend(full, now)) rates.onSend(full, now)
            rates.onSend(InstanceId("i-unlimited"), now)
            rates.exhausted(now) shouldBe setOf(full)
        }

        test("a limit that another entry reports applies, and ends when that entry reports so") {
            val rates = twoEntries()
            rates.onReports(peer, listOf(report(4.0, ageMillis = 100)), start + 1.seconds) shouldBe listOf(upstream)
            rates[upstream] shouldBe 4.0
            rates.onReports(peer, listOf(report(null, ageMillis = 100)), start + 2.seconds) shouldBe listOf(upstream)
            rates.maySend(upstream, start + 2.seconds) shouldBe true
        }

        test("a report that is older than what this entry learned itself is ignored") {
            val rates = twoEntries()
            rates.onAnswer(upstream, 4.0, start, start + 1.seconds)
            rates.onReports(peer, listOf(report(null, ageMillis = 500)), start + 1.seconds) shouldBe emptyList()
            rates[upstream] shouldBe 4.0
        }

        context("share of a limit of 8 a second among two entries, of which the other") {
            withData(
                nameFn = { (name, _): Pair<String, Pair<List<RateReport>, Double>> -> name },
                "has not reported" to (emptyList<RateReport>() to 4.0),
                "sends as much" to (listOf(report(8.0, 0, recentSends = 10.0)) to 4.0),
                "sends nothing" to (listOf(report(8.0, 0, recentSends = 0.0)) to 8 * 10.25 / 10.5),
            ) { (_, case) ->
                val (reports, expected) = case
                val rates = twoEntries()
                repeat(10) { rates.onSend(upstream, start) }
                rates.onAnswer(upstream, 8.0, start, start)
                rates.onReports(peer, reports, start)
                rates.share(upstream, start) shouldBe expected
            }
        }

        test("a request that is not sent after all leaves room for another one") {
            val rates = SharedRates(self, { setOf(self) })
            rates.onAnswer(upstream, 1.0, start, start)
            val now = start + rates.timeUntilSend(upstream, start) + 1.milliseconds
            while (rates.maySend(upstream, now)) rates.onSend(upstream, now)
            rates.onNotSent(upstream, now)
            rates.maySend(upstream, now) shouldBe true
        }

        test("an entry that is no longer registered keeps its share for a while") {
            var registered = setOf(self, peer)
            val rates = SharedRates(self, { registered })
            rates.onAnswer(upstream, 8.0, start, start)
            rates.share(upstream, start) shouldBe 4.0
            registered = setOf(self)
            rates.share(upstream, start + 10.seconds) shouldBe 4.0
            rates.share(upstream, start + 40.seconds) shouldBe 8.0
        }
    })
