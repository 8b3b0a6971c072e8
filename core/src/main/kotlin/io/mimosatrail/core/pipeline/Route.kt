package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Route of one generation of a request, which stages store with the request.
 *
 * [remainingMillis] is the time to the deadline when the generation starts. [restoring] is the stage that replaces a
 * lost one, or null; the previous stage sends it the lost state with the first frame.
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
    /** Index of the stage of [instance] in the chain, or -1 if it has none. */
    fun indexOf(instance: InstanceId): Int = chain.stages.indexOfFirst { it.instance == instance }
}
