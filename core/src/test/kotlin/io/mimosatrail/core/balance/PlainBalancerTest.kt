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
    BalanceCase("the upstream of the same place is taken first", near),
    BalanceCase("its own requests send work elsewhere", far) { repeat(3) { onStart(near) } },
    BalanceCase("a burst that other entries sent shows in the load that it tells", far) {
        onToldLoad(near, requests = 6, now - 50.milliseconds)
    },
    BalanceCase("requests of this entry are not counted twice", near) {
        onStart(near)
        onStart(far)
        onToldLoad(near, requests = 1, now - 50.milliseconds)
    },
    BalanceCase("a load that was told long ago says nothing", near) {
        onToldLoad(near, requests = 6, now - 900.milliseconds)
    },
    BalanceCase("one that refused lately is left alone", far) { onRefusal(near, now) },
    BalanceCase("one that has the request already is not asked again", far, tried = setOf(near)),
    BalanceCase("a draining one gets nothing", far, isNearDraining = true),
)

class PlainBalancerTest :
    FunSpec({
        withData<BalanceCase>({ it.name }, cases) { case ->
            val traffic = UpstreamTraffic().apply(case.prepare)
            val upstreams = listOf(record(near, "umea", case.isNearDraining), record(far, "kiruna"))
            PlainBalancer(traffic, PlaceId("umea")).choose(upstreams, case.tried, now)?.id shouldBe case.chosen
        }
    })
