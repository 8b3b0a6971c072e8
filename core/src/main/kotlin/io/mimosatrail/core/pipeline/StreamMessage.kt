package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message of one generation of a request, between an entry and stages or between stages. */
@Serializable
sealed interface StreamMessage {
    val request: RequestId
    val generation: Generation
}

/**
 * Work for one stage: runs its layers for positions [position] until [position] + [count] of the sequence.
 *
 * [index] is the index of the generated token that results. [input] holds token ids for the first stage (4 bytes
 * each, big endian) and boundary activations for the others. [trail] lists the ranges already run. [route] comes with
 * the first frame of a generation, [restore] with the first frame to a stage that replaces a lost one. [loads] are
 * those of the stages before, on some frames.
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
    /** Position after the last one of this frame. */
    val end: Int get() = position + count

    /** The same frame with [load] added to what the stages before have said. */
    fun withLoad(load: StageLoad): Frame =
        Frame(request, generation, index, nextLayer, position, count, input, trail, route, restore, loads + load)

    /** True where [input] holds the same number of bytes for each position. */
    fun isWellFormed(): Boolean = count > 0 && input.isNotEmpty() && input.size % count == 0

    /** True where a stage that holds [layers] is the next to run. */
    fun leadsTo(layers: LayerRange): Boolean = nextLayer == layers.first && trail.covers(nextLayer)
}

/** Load of one stage, carried along the chain to the entry. */
@Serializable
data class StageLoad(val instance: InstanceId, val load: UpstreamLoad)

/** A token from the last stage, to the first stage and to the entry. [finish] is null while more follow. */
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

/** A stage could not run a frame; sent to the entry. The peer of [refusal] is the stage at fault. */
@Serializable
@SerialName("stage-refusal")
data class StageRefusal(
    override val request: RequestId,
    override val generation: Generation,
    val instance: InstanceId,
    val refusal: Refusal,
    val load: UpstreamLoad? = null,
) : StreamMessage

/** Asks a stage how far it is; answered by [StageProgress] to [replyTo]. */
@Serializable
@SerialName("probe")
data class StageProbe(override val request: RequestId, override val generation: Generation, val replyTo: PeerAddress) :
    StreamMessage

/** How far a stage is. [index] is the last index it ran, -1 for none; [known] is false where it holds no state. */
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

/** The KV cache of a stage, kept by the stage before it. */
@Serializable
@SerialName("snapshot")
class StageSnapshot(
    override val request: RequestId,
    override val generation: Generation,
    val instance: InstanceId,
    val snapshot: KvSnapshot,
) : StreamMessage

/** Ends a request at a stage and frees its KV cache, for generations up to [generation]. */
@Serializable
@SerialName("cancel")
data class StageCancel(override val request: RequestId, override val generation: Generation) : StreamMessage
