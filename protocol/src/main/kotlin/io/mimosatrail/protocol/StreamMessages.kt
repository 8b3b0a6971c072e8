package io.mimosatrail.protocol

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The route of one generation of a request; stages keep it until the request ends. */
@Serializable
@SerialName("route")
data class StreamRoute(
    val entry: InstanceId,
    val entryAddress: PeerAddress,
    val chain: Chain,
    val modelLayers: Int,
    val maxTokens: Int,
    val priority: Int,
    val remainingMillis: Long,
)

/**
 * Work for one stage: runs its layers for positions [position] until [position] + [count] of the sequence.
 *
 * [index] is the index of the generated token that results. [input] holds token ids for the first stage (4 bytes
 * each, big endian) and boundary activations for the others. [trail] lists the ranges already run. [route] comes with
 * the first frame of a generation.
 */
@Serializable
@SerialName("frame")
class StageFrame(
    val request: RequestId,
    val generation: Generation,
    val index: Int,
    val nextLayer: Int,
    val position: Int,
    val count: Int,
    val input: ByteArray,
    val trail: List<LayerRange>,
    val route: StreamRoute? = null,
) : PeerMessage

/** A token from the last stage, to the first stage and to the entry. [finish] is null while more follow. */
@Serializable
@SerialName("token")
data class TokenFrame(
    val request: RequestId,
    val generation: Generation,
    val index: Int,
    val token: Int,
    val trail: List<LayerRange>,
    val finish: FinishReason? = null,
    val load: UpstreamLoad? = null,
) : PeerMessage

/** Why a stream ended whole. */
@Serializable
enum class FinishReason {
    @SerialName("stop")
    STOP,

    @SerialName("length")
    LENGTH,
}

/** A stage could not run a frame; sent to the entry. */
@Serializable
@SerialName("stage-refused")
data class StageRefused(
    val request: RequestId,
    val generation: Generation,
    val instance: InstanceId,
    val refusal: Refusal,
    val load: UpstreamLoad? = null,
) : PeerMessage

/** Ends a request at each stage and frees its KV cache, for generations up to [generation]. */
@Serializable
@SerialName("cancel")
data class CancelStream(val request: RequestId, val generation: Generation) : PeerMessage
