package io.mimosatrail.core.send

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.front.WeightedService
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204
private const val SCHEDULES = 3_000

private fun route(kind: RouteKind, isResumable: Boolean = false, maxUpstreams: Int = 2) = HostRoute(
    name = "r",
    host = "h",
    prefix = "/",
    kind = kind,
    split = listOf(WeightedService(ServiceId("s"), 1.0)),
    timeout = 1.seconds,
    target = 1.seconds,
    gapTarget = null,
    maxUpstreams = maxUpstreams,
    priority = 0,
    isResumable = isResumable,
)

private fun history(kind: RouteKind, isResumable: Boolean, vararg ends: SendEnd) =
    SendHistory(route(kind, isResumable)).apply {
        ends.forEachIndexed { index, end ->
            onSend(InstanceId("u$index"))
            onEnd(end)
        }
    }

/** An upstream that did what [end] leaves open: [hasRun] is true where it ran the request. */
private fun hasRun(end: SendEnd, random: Random): Boolean = !end.hasNotRun && random.nextBoolean()

class SendHistoryTest :
    FunSpec({
        context("what may follow") {
            data class Case(
                val kind: RouteKind,
                val isResumable: Boolean,
                val ends: List<SendEnd>,
                val maySendAgain: Boolean,
                val hasNotRun: Boolean,
            )
            val unsafe = RouteKind.NON_IDEMPOTENT
            val safe = RouteKind.IDEMPOTENT
            val stream = RouteKind.STREAMING
            withData(
                nameFn = { case: Case -> case.toString() },
                Case(unsafe, false, listOf(SendEnd.NOT_SENT), maySendAgain = true, hasNotRun = true),
                Case(unsafe, false, listOf(SendEnd.REJECTED), maySendAgain = true, hasNotRun = true),
                Case(
                    unsafe,
                    false,
                    listOf(SendEnd.MISDIRECTED, SendEnd.REJECTED),
                    maySendAgain = true,
                    hasNotRun = true,
                ),
                Case(unsafe, false, listOf(SendEnd.BROKEN), maySendAgain = false, hasNotRun = false),
                Case(unsafe, false, listOf(SendEnd.REJECTED, SendEnd.SILENT), maySendAgain = false, hasNotRun = false),
                Case(unsafe, false, listOf(SendEnd.GARBLED), maySendAgain = false, hasNotRun = false),
                Case(safe, false, listOf(SendEnd.BROKEN), maySendAgain = true, hasNotRun = false),
                Case(safe, false, listOf(SendEnd.BROKEN, SendEnd.SILENT), maySendAgain = false, hasNotRun = false),
                Case(safe, false, List(5) { SendEnd.REJECTED }, maySendAgain = false, hasNotRun = true),
                Case(stream, false, listOf(SendEnd.BROKEN), maySendAgain = false, hasNotRun = false),
                Case(stream, true, listOf(SendEnd.BROKEN), maySendAgain = true, hasNotRun = false),
            ) { case ->
                val history = history(case.kind, case.isResumable, *case.ends.toTypedArray())
                history.maySendAgain() shouldBe case.maySendAgain
                history.hasNotRun shouldBe case.hasNotRun
            }
        }

        test("an upstream that refused may be asked again, one that may have run the request not") {
            val history = history(RouteKind.IDEMPOTENT, false, SendEnd.REJECTED, SendEnd.BROKEN)
            history.tried shouldBe setOf(InstanceId("u1"))
        }

        test("over random schedules nothing that may run once runs twice, and no run is denied") {
            val random = Random(SEED)
            repeat(SCHEDULES) { number ->
                withClue("seed $SEED, schedule $number") {
                    val kind = RouteKind.entries.random(random)
                    val isResumable = kind == RouteKind.STREAMING && random.nextBoolean()
                    val maxUpstreams = random.nextInt(1, 4)
                    val history = SendHistory(route(kind, isResumable, maxUpstreams))
                    var runs = 0
                    var isAnswered = false
                    while (!isAnswered && history.maySendAgain()) {
                        history.onSend(InstanceId("u${history.sends}"))
                        history.hasNotRun shouldBe false
                        if (random.nextInt(4) == 0) {
                            history.onAnswered()
                            runs++
                            isAnswered = true
                        } else {
                            val end = SendEnd.entries.random(random)
                            history.onEnd(end)
                            if (hasRun(end, random)) runs++
                        }
                    }
                    val isRepeatable = kind == RouteKind.IDEMPOTENT || isResumable
                    runs shouldBeLessThanOrEqual if (isRepeatable) maxUpstreams else 1
                    if (history.hasNotRun) runs shouldBe 0
                }
            }
        }
    })
