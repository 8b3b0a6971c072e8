package io.mimosatrail.core.registry

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange

/**
 * An upstream's own entry in the registry.
 *
 * [slots] is its capacity in concurrent requests. [startedMillis] is the Unix time of its start, which distinguishes it
 * from earlier processes with the same id. [kind] and [layers] are null for plain services; [layers] is also null while
 * an engine holds none.
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
