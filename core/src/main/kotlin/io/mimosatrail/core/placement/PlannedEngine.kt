package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange

/** An engine as input of the planner. [held] are the layers that it holds or was ordered to hold, null if none. */
data class PlannedEngine(
    val id: InstanceId,
    val place: PlaceId,
    val accelerator: AcceleratorProfile,
    val held: LayerRange?,
)
