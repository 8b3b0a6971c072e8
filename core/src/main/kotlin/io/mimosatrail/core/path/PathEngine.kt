package io.mimosatrail.core.path

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.AcceleratorProfile

/**
 * An engine as the path search sees it.
 *
 * [tokenLayers] is the KV cache in use and [room] the most that fits, both in tokens times layers; [sequences] counts
 * the streams that pass through. [slowness] multiplies its times; 1 is normal.
 */
data class PathEngine(
    val id: InstanceId,
    val address: PeerAddress,
    val place: PlaceId,
    val accelerator: AcceleratorProfile,
    val layers: LayerRange,
    val sequences: Double,
    val tokenLayers: Double,
    val room: Double,
    val slowness: Double,
)
