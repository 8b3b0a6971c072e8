package io.mimosatrail.core.registry

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange

/**
 * What an upstream says of itself in the registry.
 *
 * [startedMillis] is the Unix time of its start and tells two lives under one id apart. [layers] and [kind] are set for
 * model engines; [layers] is null while an engine holds none.
 */
data class UpstreamRecord(
    val id: InstanceId,
    val service: ServiceId,
    val address: PeerAddress,
    val place: PlaceId,
    val isDraining: Boolean,
    val slots: Int,
    val startedMillis: Long,
    val kind: AcceleratorKind? = null,
    val layers: LayerRange? = null,
)
