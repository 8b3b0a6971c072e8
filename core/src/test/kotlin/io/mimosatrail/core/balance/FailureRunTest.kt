package io.mimosatrail.core.balance

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathDemand
import io.mimosatrail.core.path.PathSearch
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.siteProfile
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

private fun at(millis: Int) = Moment(0) + millis.milliseconds

/** Requests of one upstream: when each was sent, when it ended, and whether it had a usable answer. */
private data class RunCase(
    val name: String,
    val requests: List<Triple<Int, Int, Boolean>>,
    val now: Int,
    val isPaused: Boolean,
)

private val cases = listOf(
    RunCase("two failures in a row are chance", listOf(Triple(0, 5, false), Triple(10, 15, false)), 20, false),
    RunCase("three rounds of failures are not", List(3) { Triple(it * 10, it * 10 + 5, false) }, 30, true),
    RunCase("requests that fail together count once", List(40) { Triple(it, 100, false) }, 110, false),
    RunCase(
        "a usable answer ends the run",
        List(2) { Triple(it * 10, it * 10 + 5, false) } + Triple(30, 35, true) + Triple(40, 45, false),
        50,
        false,
    ),
    RunCase("after the pause it is asked again", List(3) { Triple(it * 10, it * 10 + 5, false) }, 600, false),
    RunCase(
        "one that still fails is left alone for longer",
        List(3) { Triple(it * 10, it * 10 + 5, false) } + Triple(600, 605, false),
        1_500,
        true,
    ),
)

class FailureRunTest :
    FunSpec({
        withData<RunCase>({ it.name }, cases) { case ->
            val run = FailureRun()
            for ((sentAt, endedAt, isUsable) in case.requests) {
                if (isUsable) run.onSuccess() else run.onFailure(at(sentAt), at(endedAt))
            }
            run.isPaused(at(case.now)) shouldBe case.isPaused
        }

        test("an engine that resets every stream while it looks healthy costs a few streams, not all of them") {
            val liar = InstanceId("liar")
            val records = listOf(liar, InstanceId("sound")).map { id ->
                UpstreamRecord(
                    id = id,
                    service = ServiceId("model"),
                    address = PeerAddress("$id.example", 80),
                    place = PlaceId(if (id == liar) "umea" else "kiruna"),
                    isDraining = false,
                    slots = 100,
                    startedMillis = 1,
                    kind = siteProfile.kinds.keys.first { it.value == "h100" },
                    layers = LayerRange(0, siteProfile.layers),
                )
            }
            val small = siteProfile.copy(layerMegabytes = 100.0)
            val traffic = UpstreamTraffic()
            val view = EngineView(traffic, PeerLoads(), small)
            var failed = 0
            for (millis in 0 until 7_000 step 20) {
                val engines = view.rows(records, emptySet(), entries = 1, at(millis))
                val path = PathSearch(small).best(engines, PathDemand(772, 172, PlaceId("umea")))
                if (path?.segments?.first()?.engine?.id != liar) continue
                failed++
                traffic.onSendFailed(liar, at(millis), at(millis + 3))
            }
            failed shouldBeLessThanOrEqual 8
        }
    })
