package io.mimosatrail.core.routing

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.minutes

internal val start = Moment(0)

/** A time at which upstreams described at [start] have warmed up. */
internal val warm = start + 1.minutes

internal val poolService = ServiceId("inspection")

internal fun pool(layers: Int, preference: PoolPreference = PoolPreference.THROUGHPUT) =
    ModelPool(poolService, ModelId("points"), layers, preference = preference)

internal fun entryOf(name: String, place: String = "lulea", state: InstanceState = InstanceState.LIVE) = InstanceEntry(
    InstanceId(name),
    InstanceRole.SIDECAR,
    PlaceId(place),
    PeerAddress("10.0.0.1", 1 + name.hashCode().mod(60_000)),
    state,
    poolService,
)

/** A runner of the pool that holds the layers from [first] until [end] (exclusive). */
internal data class Runner(
    val name: String,
    val first: Int,
    val end: Int,
    val load: UpstreamLoad = UpstreamLoad(meanStepMicros = 1_000),
    val place: String = "lulea",
    val model: String = "points",
)

internal fun Runner.description(layers: Int) = UpstreamDescription(
    InstanceId(name),
    PlaceId(place),
    entryOf(name, place).address,
    poolService,
    load,
    EngineDescription(ModelId(model), "1", LayerRange(first, end), layers, AcceleratorKind("a"), 64, 1_000_000),
)

internal fun tableOf(layers: Int, vararg runners: Runner): UpstreamTable {
    val table = UpstreamTable()
    table.onList(runners.map { entryOf(it.name, it.place) }, start)
    runners.forEach { table.onDescribed(it.description(layers), start) }
    return table
}
