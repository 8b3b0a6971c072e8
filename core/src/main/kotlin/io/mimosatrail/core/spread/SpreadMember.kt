package io.mimosatrail.core.spread

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId

/** A process that takes part in the spread of the configuration. */
data class SpreadMember(val id: InstanceId, val place: PlaceId)
