package io.mimosatrail.core.balance

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

private val now = Moment(0) + 10_000.milliseconds
private val near = InstanceId("near")
private val far = InstanceId("far")

private fun record(id: InstanceId, place: String, isDraining: Boolean = false) = UpstreamRecord(
    id = id,
    service = ServiceId("plain"),
    address = PeerAddress("$id.example", 80),
    place = PlaceId(place),
    isDraining = isDraining,
    slots = 6,
    startedMillis = 1,
)

private class BalanceCase(
    val name: String,
    val chosen: InstanceId,
    val tried: Set<InstanceId> = emptySet(),
    val isNearDraining: Boolean = false,
    val prepare: UpstreamTraffic.() -> Unit = {},
)

private val cases = listOf(
    BalanceCase("an upstream in the same place is preferred", near),
    BalanceCase("requests of this entry in flight shift work to another upstream", far) { repeat(3) { onStart(near) } },
    BalanceCase("a burst from other entries shows in the load that the upstream reports", far) {
        onLoadReport(near, requests = 6, now - 50.milliseconds)
    },
    BalanceCase("requests of this entry are not counted twice", near) {
        onStart(near)
        onStart(far)
        onLoadReport(near, requests = 1, now - 50.milliseconds)
    },
    BalanceCase("an old load report is ignored", near) {
        onLoadReport(near, requests = 6, now - 900.milliseconds)
    },
    BalanceCase("an upstream that refused recently is avoided", far) { onRefusal(near, now) },
    BalanceCase("an upstream that was already tried is not chosen again", far, tried = setOf(near)),
    BalanceCase("a draining upstream is not chosen", far, isNearDraining = true),
)

class PlainBalancerTest :
    FunSpec({
        withData<BalanceCase>({ it.name }, cases) { case ->
            val traffic = UpstreamTraffic().apply(case.prepare)
            val upstreams = listOf(record(near, "umea", case.isNearDraining), record(far, "kiruna"))
            PlainBalancer(traffic, PlaceId("umea")).choose(upstreams, case.tried, now)?.id shouldBe case.chosen
        }
    })
