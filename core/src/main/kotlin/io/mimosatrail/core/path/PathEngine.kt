package io.mimosatrail.core.path

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.AcceleratorProfile

/**
 * An engine as input of the path search.
 *
 * [tokenLayers] is the KV cache in use and [tokenLayerCapacity] its total size, both in tokens times layers.
 * [sequences] is the expected number of streams that the engine runs. [slowness] multiplies the engine's expected
 * times; 1 is normal. [mayBeFirst] is false if no new stream may begin at it; it may still be a later segment.
 */
data class PathEngine(
    val id: InstanceId,
    val address: PeerAddress,
    val place: PlaceId,
    val accelerator: AcceleratorProfile,
    val layers: LayerRange,
    val sequences: Double,
    val tokenLayers: Double,
    val tokenLayerCapacity: Double,
    val slowness: Double,
    val mayBeFirst: Boolean = true,
)
