package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.balance.EngineLoad
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import kotlinx.serialization.Serializable

/**
 * What one entry tells the others: its [loads], the engines that it has just found to be [down] itself, and what it has
 * [seen] of upstreams before the registry shows it. [duty] is the term of the placement duty while it holds that.
 * [number] grows with each message of one life of the entry.
 */
@Serializable
internal data class LoadMessage(
    val from: InstanceId,
    val number: Long,
    val loads: List<EngineLoad>,
    val down: List<InstanceId>,
    val seen: List<ToldUpstream> = emptyList(),
    val duty: Long? = null,
)

/** An upstream as the teller saw it: the [layers] that it serves, null for none, and whether it is draining. */
@Serializable
internal data class ToldUpstream(
    val engine: InstanceId,
    val startedMillis: Long,
    val layers: LayerRange?,
    val isDraining: Boolean,
)
