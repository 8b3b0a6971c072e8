package io.mimosatrail.core.membership

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import kotlinx.serialization.Serializable

/** Description of an upstream by its sidecar. [engine] is null for a plain service. */
@Serializable
data class UpstreamDescription(
    val instance: InstanceId,
    val place: PlaceId,
    val address: PeerAddress,
    val service: ServiceId,
    val load: UpstreamLoad,
    val engine: EngineDescription? = null,
)

/** Description of a model engine. It holds [layers] of a model that has [modelLayers] layers in all. */
@Serializable
data class EngineDescription(
    val model: ModelId,
    val version: String,
    val layers: LayerRange,
    val modelLayers: Int,
    val kind: AcceleratorKind,
    val kvBytesPerToken: Int,
    val kvCapacityBytes: Long,
    val adapters: List<String> = emptyList(),
    val role: String = "serve",
)
