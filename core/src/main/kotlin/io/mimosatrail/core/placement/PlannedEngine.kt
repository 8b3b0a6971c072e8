package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange

/** An engine that may hold layers. [held] is what it holds or has been ordered to hold, null where nothing. */
data class PlannedEngine(
    val id: InstanceId,
    val place: PlaceId,
    val accelerator: AcceleratorProfile,
    val held: LayerRange?,
)
