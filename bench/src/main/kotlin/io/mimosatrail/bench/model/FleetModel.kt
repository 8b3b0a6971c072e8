package io.mimosatrail.bench.model

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import kotlin.random.Random

private const val LAYERS = 32
private const val QUARTER_LAYERS = 8
private val places = listOf("north-1", "north-2", "north-3", "south-1")

/** Six kinds of accelerator. The fastest is six times as fast as the slowest. */
internal val kinds = listOf(1.0, 1.5, 2.0, 3.0, 4.0, 6.0).mapIndexed { i, factor ->
    AcceleratorModel("kind-${i + 1}", baseMicros = 6_000 / factor, unitMicros = 300 / factor)
}

/**
 * Runners of one pool. A fifth of them hold half of the model's layers, the others a quarter. Kinds of accelerator are
 * assigned in equal numbers, at random.
 */
internal class FleetModel(val loop: EventLoop, size: Int, random: Random, preference: PoolPreference) {
    val pool = ModelPool(ServiceId("inspection"), RunnerModel.MODEL, LAYERS, preference = preference)
    val runners: List<RunnerModel> = shuffledKinds(size, random).mapIndexed { i, kind -> runner(i, kind) }
    val byId: Map<InstanceId, RunnerModel> = runners.associateBy { it.id }

    /** Highest rate at which the fleet can run units through all layers: the maximum flow over the layer ranges. */
    fun maxUnitsPerSecond(): Double = boundaryFlow(
        runners.filter { it.isAlive }
            .groupBy { it.layers }
            .mapValues { (_, group) -> group.sumOf { it.kind.unitsPerSecond / it.slowdown } },
        LAYERS,
    )

    private fun runner(index: Int, kind: AcceleratorModel): RunnerModel {
        val hasHalfOfLayers = index % 5 == 4
        val size = if (hasHalfOfLayers) 2 * QUARTER_LAYERS else QUARTER_LAYERS
        val first = (if (hasHalfOfLayers) index / 5 else index) % (LAYERS / size) * size
        val scaled = AcceleratorModel(
            kind.name,
            kind.baseMicros * size / QUARTER_LAYERS,
            kind.unitMicros * size / QUARTER_LAYERS,
        )
        val entry = InstanceEntry(
            InstanceId("runner-$index"),
            InstanceRole.SIDECAR,
            PlaceId(places[index / 2 % places.size]),
            PeerAddress("10.0.${index / 250}.${index % 250 + 1}", 7_000),
            service = pool.id,
        )
        return RunnerModel(loop, entry, LayerRange(first, first + size), LAYERS, scaled)
    }

    private fun shuffledKinds(size: Int, random: Random) = List(size) { kinds[it % kinds.size] }.shuffled(random)
}
