package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The route of one generation of a request; stages keep it until the request ends.
 *
 * [restoring] is the stage that replaces a lost one: its neighbour sends the lost state along with the first frame.
 */
@Serializable
@SerialName("route")
data class Route(
    val entry: InstanceId,
    val entryAddress: PeerAddress,
    val chain: Chain,
    val modelLayers: Int,
    val promptTokens: Int,
    val maxTokens: Int,
    val priority: Int,
    val remainingMillis: Long,
    val restoring: InstanceId? = null,
) {
    /** Index in the chain of the stage that [instance] runs, or -1. */
    fun indexOf(instance: InstanceId): Int = chain.stages.indexOfFirst { it.instance == instance }
}
