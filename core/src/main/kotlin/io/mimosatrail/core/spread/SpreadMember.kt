package io.mimosatrail.core.spread

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId

/** A process that receives the configuration and passes it on to its peers. */
data class SpreadMember(val id: InstanceId, val place: PlaceId)
