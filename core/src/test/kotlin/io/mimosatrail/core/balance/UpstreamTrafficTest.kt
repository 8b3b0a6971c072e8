package io.mimosatrail.core.balance

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.siteProfile
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val a = InstanceId("a")
private val start = Moment(0)

private fun record(id: String, place: String = "umea", isDraining: Boolean = false, startedMillis: Long = 1) =
    UpstreamRecord(
        id = InstanceId(id),
        service = ServiceId("s"),
        address = PeerAddress(id, 80),
        place = PlaceId(place),
        isDraining = isDraining,
        slots = 6,
        startedMillis = startedMillis,
        kind = AcceleratorKind("l4"),
        layers = LayerRange(0, 9),
    )

private fun load(sequences: Int) = listOf(EngineLoad(a, sequences, sequences * 1_000L))

class UpstreamTrafficTest :
    FunSpec({
        test("pauses double with consecutive refusals and are reset by processed work") {
            val traffic = UpstreamTraffic()
            traffic.onRefusal(a, start)
            traffic[a].isAvoided(start + 399.milliseconds) shouldBe true
            traffic[a].isAvoided(start + 401.milliseconds) shouldBe false
            traffic.onRefusal(a, start + 1.seconds)
            traffic[a].isAvoided(start + 1_799.milliseconds) shouldBe true
            traffic.onProcessed(listOf(a))
            traffic.onRefusal(a, start + 10.seconds)
            traffic[a].isAvoided(start + 10_401.milliseconds) shouldBe false
        }

        test("refusals of concurrent requests count as one") {
            val traffic = UpstreamTraffic()
            repeat(20) { traffic.onRefusal(a, start) }
            traffic[a].refusals shouldBe 1
        }

        test("a restart of an upstream clears its history") {
            val traffic = UpstreamTraffic()
            traffic.onDetectedDown(a, start)
            traffic[a].isPresumedDown(start) shouldBe true
            traffic.onRegistry(listOf(RegistryChange(a, record("a"), record("a", startedMillis = 2))))
            traffic[a].isAvoided(start) shouldBe false
        }

        test("an engine that others report as down is avoided for a while and not reported further") {
            val traffic = UpstreamTraffic()
            traffic.onReportedDown(a, start) shouldBe true
            traffic.onReportedDown(a, start) shouldBe false
            traffic[a].isPresumedDown(start) shouldBe true
            traffic.detectedDown(start).shouldBeEmpty()
            traffic[a].isPresumedDown(start + 1.seconds) shouldBe false
        }

        context("load reported by other entries counts until it is too old") {
            data class Case(val after: Int, val sequences: Int)
            withData(nameFn = { "$it" }, Case(0, 7), Case(1_500, 7), Case(1_700, 0)) { case ->
                val loads = PeerLoads()
                loads.onReport(InstanceId("e1"), 1, load(3), start)
                loads.onReport(InstanceId("e2"), 1, load(4), start)
                loads.at(a, start + case.after.milliseconds).sequences shouldBe case.sequences
            }
        }

        test("a report that arrives out of order is ignored") {
            val loads = PeerLoads()
            loads.onReport(InstanceId("e1"), 2, load(3), start)
            loads.onReport(InstanceId("e1"), 1, load(9), start)
            loads.at(a, start).sequences shouldBe 3
        }

        test("entries without a report are assumed to have the average load, up to a limit") {
            val traffic = UpstreamTraffic()
            val loads = PeerLoads()
            loads.onReport(InstanceId("e1"), 1, load(10), start)
            val view = EngineView(traffic, loads, siteProfile)
            view.pathEngines(listOf(record("a")), emptySet(), entries = 2, start).single().sequences shouldBe 10.0
            view.pathEngines(listOf(record("a")), emptySet(), entries = 3, start).single().sequences shouldBe 15.0
            view.pathEngines(listOf(record("a")), emptySet(), entries = 40, start).single().sequences shouldBe 20.0
        }

        test("plain requests go to the least loaded upstream in the same place, never to a draining one") {
            val traffic = UpstreamTraffic()
            val balancer = PlainBalancer(traffic, PlaceId("umea"))
            val upstreams = listOf(record("a"), record("b", place = "kiruna"), record("c", isDraining = true))
            fun choose(tried: Set<InstanceId> = emptySet()) = balancer.choose(upstreams, tried, start)?.id?.value
            choose() shouldBe "a"
            repeat(2) { traffic.onStart(a) }
            choose() shouldBe "b"
            traffic.onDetectedDown(InstanceId("b"), start)
            choose() shouldBe "a"
            choose(tried = setOf(a)) shouldBe "b"
            choose(tried = setOf(a, InstanceId("b"))) shouldBe null
        }

        test("draining and avoided engines are left out of the path search") {
            val traffic = UpstreamTraffic()
            traffic.onRefusal(InstanceId("b"), start)
            val records = listOf(record("a"), record("b"), record("c", isDraining = true))
            EngineView(traffic, PeerLoads(), siteProfile).pathEngines(records, emptySet(), 1, start)
                .map { it.id.value } shouldContainExactly listOf("a")
        }
    })
