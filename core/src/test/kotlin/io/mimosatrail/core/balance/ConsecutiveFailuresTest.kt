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

/** [requests] to one upstream: time sent and time ended in milliseconds, and whether there was a usable answer. */
private data class FailureCase(
    val name: String,
    val requests: List<Triple<Int, Int, Boolean>>,
    val now: Int,
    val isPaused: Boolean,
)

private val cases = listOf(
    FailureCase(
        "two consecutive failures don't pause the upstream",
        listOf(Triple(0, 5, false), Triple(10, 15, false)),
        20,
        false,
    ),
    FailureCase(
        "three consecutive failures pause the upstream",
        List(3) { Triple(it * 10, it * 10 + 5, false) },
        30,
        true,
    ),
    FailureCase("failures of concurrent requests count once", List(40) { Triple(it, 100, false) }, 110, false),
    FailureCase(
        "a usable answer resets the count",
        List(2) { Triple(it * 10, it * 10 + 5, false) } + Triple(30, 35, true) + Triple(40, 45, false),
        50,
        false,
    ),
    FailureCase("the pause ends", List(3) { Triple(it * 10, it * 10 + 5, false) }, 600, false),
    FailureCase(
        "a failure after the pause starts a longer one",
        List(3) { Triple(it * 10, it * 10 + 5, false) } + Triple(600, 605, false),
        1_500,
        true,
    ),
)

class ConsecutiveFailuresTest :
    FunSpec({
        withData<FailureCase>({ it.name }, cases) { case ->
            val failures = ConsecutiveFailures()
            for ((sentAt, endedAt, isUsable) in case.requests) {
                if (isUsable) failures.onSuccess() else failures.onFailure(at(sentAt), at(endedAt))
            }
            failures.isPaused(at(case.now)) shouldBe case.isPaused
        }

        test("an engine that reports itself healthy but resets every stream fails only a few streams") {
            val broken = InstanceId("broken")
            val records = listOf(broken, InstanceId("healthy")).map { id ->
                UpstreamRecord(
                    id = id,
                    service = ServiceId("model"),
                    address = PeerAddress("$id.example", 80),
                    place = PlaceId(if (id == broken) "umea" else "kiruna"),
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
                val engines = view.pathEngines(records, emptySet(), entries = 1, at(millis))
                val path = PathSearch(small).best(engines, PathDemand(772, 172, PlaceId("umea")))
                if (path?.segments?.first()?.engine?.id != broken) continue
                failed++
                traffic.onSendFailed(broken, at(millis), at(millis + 3))
            }
            failed shouldBeLessThanOrEqual 8
        }
    })
