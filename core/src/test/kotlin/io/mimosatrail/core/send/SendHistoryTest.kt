package io.mimosatrail.core.send

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
            onEnd(end)
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

        test("an upstream that may have run the request is excluded, one that refused it is not") {
            val history = history(RouteKind.IDEMPOTENT, false, SendEnd.REJECTED, SendEnd.BROKEN)
            history.excludedUpstreams shouldBe setOf(InstanceId("u1"))
        }
    })
