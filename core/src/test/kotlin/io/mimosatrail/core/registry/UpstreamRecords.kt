package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange

/** A record of the upstream [id] of the service `s`. */
internal fun upstreamRecord(
    id: String,
    layers: LayerRange? = null,
    startedMillis: Long = 1,
    isDraining: Boolean = false,
) = UpstreamRecord(
    id = InstanceId(id),
    service = ServiceId("s"),
    address = PeerAddress("10.0.0.1", 80),
    place = PlaceId("kiruna"),
    isDraining = isDraining,
    slots = 4,
    startedMillis = startedMillis,
    layers = layers,
)
