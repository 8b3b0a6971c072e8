package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.balance.EngineLoad
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import kotlinx.serialization.Serializable

/**
 * What one entry tells the others: its [loads], the engines that it has just found to be [down] itself, and those that
 * it has just [placed]. [number] grows with each message of one life of the entry.
 */
@Serializable
internal data class LoadMessage(
    val from: InstanceId,
    val number: Long,
    val loads: List<EngineLoad>,
    val down: List<InstanceId>,
    val placed: List<PlacedEngine> = emptyList(),
)

/** An engine that serves [layers] since an order of the teller, null for none. */
@Serializable
internal data class PlacedEngine(val engine: InstanceId, val startedMillis: Long, val layers: LayerRange?)
