package io.mimosatrail.core.send

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.front.HostRoute
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.front.WeightedService
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import kotlin.time.Duration.Companion.seconds

internal fun route(kind: RouteKind, isResumable: Boolean = false, maxUpstreams: Int = 2) = HostRoute(
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
            onEnd(InstanceId("u$index"), end)
        }
    }

class SendHistoryTest :
    FunSpec({
        context("whether a request may be sent again and counts as not run") {
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

        context("whether a second send may be open beside the first") {
            data class Case(
                val kind: RouteKind,
                val isResumable: Boolean,
                val maxUpstreams: Int,
                val ended: List<SendEnd>,
                val mayRetryAfterRun: Boolean,
            )
            withData(
                nameFn = { case: Case -> case.toString() },
                Case(RouteKind.NON_IDEMPOTENT, false, 2, emptyList(), mayRetryAfterRun = false),
                Case(RouteKind.STREAMING, false, 2, emptyList(), mayRetryAfterRun = false),
                Case(RouteKind.STREAMING, true, 2, emptyList(), mayRetryAfterRun = true),
                Case(RouteKind.IDEMPOTENT, false, 2, emptyList(), mayRetryAfterRun = true),
                Case(RouteKind.IDEMPOTENT, false, 1, emptyList(), mayRetryAfterRun = false),
                Case(RouteKind.IDEMPOTENT, false, 2, listOf(SendEnd.BROKEN), mayRetryAfterRun = false),
                Case(RouteKind.IDEMPOTENT, false, 3, listOf(SendEnd.BROKEN), mayRetryAfterRun = true),
                Case(RouteKind.IDEMPOTENT, false, 2, listOf(SendEnd.REJECTED), mayRetryAfterRun = true),
            ) { case ->
                val history = SendHistory(route(case.kind, case.isResumable, case.maxUpstreams))
                case.ended.forEachIndexed { index, end ->
                    history.onSend(InstanceId("u$index"))
                    history.onEnd(InstanceId("u$index"), end)
                }
                history.onSend(InstanceId("open"))
                history.hasNotRun shouldBe false
                history.mayRetryAfterRun() shouldBe case.mayRetryAfterRun
                history.maySendAgain() shouldBe case.mayRetryAfterRun
                if (!case.mayRetryAfterRun) shouldThrow<IllegalStateException> { history.onSend(InstanceId("other")) }
            }
        }

        test("upstreams of open sends are excluded, and the request may run until the last one has ended") {
            val history = SendHistory(route(RouteKind.IDEMPOTENT))
            history.onSend(InstanceId("a"))
            history.onSend(InstanceId("b"))
            history.excludedUpstreams shouldBe setOf(InstanceId("a"), InstanceId("b"))
            history.onEnd(InstanceId("b"), SendEnd.REJECTED)
            history.hasNotRun shouldBe false
            history.excludedUpstreams shouldBe setOf(InstanceId("a"))
            history.onEnd(InstanceId("a"), SendEnd.NOT_SENT)
            history.hasNotRun shouldBe true
        }

        test("an upstream that may have run the request is excluded, one that refused it is not") {
            val history = history(RouteKind.IDEMPOTENT, false, SendEnd.REJECTED, SendEnd.BROKEN)
            history.excludedUpstreams shouldBe setOf(InstanceId("u1"))
        }
    })
