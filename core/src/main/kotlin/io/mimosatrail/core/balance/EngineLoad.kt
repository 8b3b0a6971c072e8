package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.Serializable

/** Streams of one entry that pass an engine, and the KV cache they will fill in tokens times layers. */
@Serializable
data class EngineLoad(val engine: InstanceId, val sequences: Int, val tokenLayers: Long)
