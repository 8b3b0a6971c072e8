package io.mimosatrail.core.balance

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.nulls.shouldNotBeNull
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

private val umea = PlaceId("umea")
private val start = Moment(0)

private fun engine(id: String, layers: LayerRange) = UpstreamRecord(
    id = InstanceId(id),
    service = ServiceId("s"),
    address = PeerAddress("10.0.0.1", 80),
    place = umea,
    isDraining = false,
    slots = 134,
    startedMillis = 1,
    kind = siteProfile.kinds.keys.first(),
    layers = layers,
)

class EngineViewTest :
    FunSpec({
        // Guards against one engine with layers that the model does not have, for which every search threw.
        context("an engine whose layers the model does not have is part of no path") {
            val model = siteProfile.layers
            val half = model / 2
            withData(
                LayerRange(0, model + 1),
                LayerRange(0, Int.MAX_VALUE),
                LayerRange(half, model + 1),
                LayerRange(model, 2 * model),
                LayerRange(Int.MAX_VALUE - 1, Int.MAX_VALUE),
            ) { odd ->
                val good = listOf(engine("a", LayerRange(0, half)), engine("b", LayerRange(half, model)))
                val view = EngineView(UpstreamTraffic(), PeerLoads(), siteProfile)
                val engines = view.pathEngines(good + engine("odd", odd), emptySet(), entries = 1, start)
                val path = PathSearch(siteProfile).best(engines, PathDemand(1, 1, umea)).shouldNotBeNull()
                path.segments.map { it.engine.id.value } shouldBe listOf("a", "b")
            }
        }
    })
