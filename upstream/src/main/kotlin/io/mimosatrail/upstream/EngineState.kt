package io.mimosatrail.upstream

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.FencingNumber
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.pipeline.LayerRange
import kotlinx.serialization.Serializable

/** The layers that an engine holds, and its load. */
@Serializable
data class EngineState(
    val model: ModelId,
    val version: String,
    val layers: LayerRange,
    val modelLayers: Int,
    val kind: AcceleratorKind,
    val adapters: List<String> = emptyList(),
    val role: String = "serve",
    val kvBytesPerToken: Int,
    val kvCapacityBytes: Long,
    val kvUsedBytes: Long = 0,
    val running: Int = 0,
    val waiting: Int = 0,
    val fencing: FencingNumber = FencingNumber(0),
    val loading: Boolean = false,
)

/** Declares which layers of which model an engine shall hold. [fencing] lets the engine reject outdated orders. */
@Serializable
data class EngineOrder(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val adapters: List<String>,
    val layers: LayerRange,
    val role: String = "serve",
)
