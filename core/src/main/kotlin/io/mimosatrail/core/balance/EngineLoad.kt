package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import kotlinx.serialization.Serializable

/**
 * Load that one entry puts on [engine]: the number of streams through it ([sequences]) and the KV cache that they will
 * fill ([tokenLayers], in tokens times layers).
 */
@Serializable
data class EngineLoad(val engine: InstanceId, val sequences: Int, val tokenLayers: Long)
