package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A message about a model request, sent between its entry and a stage or between two stages.
 *
 * [generation] increases by one with each recovery; receivers drop messages of older generations.
 */
@Serializable
sealed interface StreamMessage {
    val request: RequestId
    val generation: Generation
}

/**
 * Input for one stage, which runs its layers on the positions from [position] to [end] (exclusive) of the sequence.
 *
 * [index] is the index of the token generated from this frame, and [nextLayer] the first layer to run. [input] holds
 * token ids for the first stage (4 bytes each, big endian) and boundary activations for the others. [trail] lists the
 * layer ranges that have already run on these positions. [route] is set on the first frame of a generation and null
 * on later ones. [restore] is set only on the first frame to a stage that replaces a lost one. [loads] holds the loads
 * of the previous stages and may be empty.
 */
@Serializable
@SerialName("frame")
class Frame(
    override val request: RequestId,
    override val generation: Generation,
    val index: Int,
    val nextLayer: Int,
    val position: Int,
    val count: Int,
    val input: ByteArray,
    val trail: List<LayerRange>,
    val route: Route? = null,
    val restore: RestoredState? = null,
    val loads: List<StageLoad> = emptyList(),
) : StreamMessage {
    /** End of the positions, exclusive. */
    val end: Int get() = position + count

    /** A copy of this frame with [load] appended to [loads]. */
    fun withLoad(load: StageLoad): Frame =
        Frame(request, generation, index, nextLayer, position, count, input, trail, route, restore, loads + load)

    /** True if [input] holds the same, positive number of bytes for each position. */
    fun isWellFormed(): Boolean = count > 0 && input.isNotEmpty() && input.size % count == 0

    /** True if [layers] start at [nextLayer] and the trail covers every layer before it. */
    fun isNextFor(layers: LayerRange): Boolean = nextLayer == layers.first && trail.covers(nextLayer)
}

/** Load of one stage, forwarded along the chain to the entry with frames and tokens. */
@Serializable
data class StageLoad(val instance: InstanceId, val load: UpstreamLoad)

/**
 * A token sampled by the last stage, sent to the entry and, unless it is the last token, to the first stage.
 *
 * [finish] is null while more tokens follow. [trail] lists the layer ranges that ran to produce the token.
 */
@Serializable
@SerialName("token")
data class SampledToken(
    override val request: RequestId,
    override val generation: Generation,
    val index: Int,
    val token: Int,
    val trail: List<LayerRange>,
    val finish: FinishReason? = null,
    val loads: List<StageLoad> = emptyList(),
) : StreamMessage

/**
 * Reports to the entry that stage [instance] could not run a frame or could not forward its output.
 *
 * The peer named in [refusal] is the failed stage, which may be another one than the sender. [load] is the sender's
 * load, or null if it was not attached.
 */
@Serializable
@SerialName("stage-refusal")
data class StageRefusal(
    override val request: RequestId,
    override val generation: Generation,
    val instance: InstanceId,
    val refusal: Refusal,
    val load: UpstreamLoad? = null,
) : StreamMessage

/** Asks a stage for its progress on a request. The stage sends a [StageProgress] to [replyTo]. */
@Serializable
@SerialName("probe")
data class StageProbe(override val request: RequestId, override val generation: Generation, val replyTo: PeerAddress) :
    StreamMessage

/**
 * Progress of a stage on a request, in answer to a [StageProbe].
 *
 * [known] is false if the stage holds no state of the request. [index] is the token index of the last frame that it
 * finished, or -1 for none. [running] is true while its engine works on the request.
 */
@Serializable
@SerialName("progress")
data class StageProgress(
    override val request: RequestId,
    override val generation: Generation,
    val instance: InstanceId,
    val known: Boolean,
    val index: Int = -1,
    val running: Boolean = false,
) : StreamMessage

/** KV cache of stage [instance], sent to the previous stage, which retains it for recovery. */
@Serializable
@SerialName("snapshot")
class StageSnapshot(
    override val request: RequestId,
    override val generation: Generation,
    val instance: InstanceId,
    val snapshot: KvSnapshot,
) : StreamMessage

/** Ends a request at a stage and frees its KV cache. Applies to [generation] and older ones. */
@Serializable
@SerialName("cancel")
data class StageCancel(override val request: RequestId, override val generation: Generation) : StreamMessage
