package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress

/** What a stage's host does after an event. */
sealed interface StageEffect {
    /** Sends [message]; [peer] is who is reached at [to]. */
    class Send(val peer: InstanceId, val to: PeerAddress, val message: StreamMessage) : StageEffect

    /** Runs [work] on the engine and reports its result. */
    class Run(val work: StageWork) : StageEffect

    /** Frees a sequence's KV cache. */
    data class Free(val sequence: String) : StageEffect

    /** Exports a sequence's KV cache and reports it. */
    class Export(val request: RequestId, val generation: Generation, val sequence: String) : StageEffect
}

/**
 * Engine work of one sequence: positions [position] until [position] + [count], for the token [index].
 *
 * [snapshot] is imported first where it is given. [firstStage] tells that [input] holds token ids.
 */
class StageWork(
    val request: RequestId,
    val sequence: String,
    val index: Int,
    val position: Int,
    val count: Int,
    val input: ByteArray,
    val firstStage: Boolean,
    val priority: Int,
    val snapshot: KvSnapshot? = null,
) {
    val end: Int get() = position + count
}

/** Result of a [StageWork]. */
sealed interface StageResult {
    /** Boundary activations for the next stage. */
    class Activations(val bytes: ByteArray) : StageResult

    /** A sampled token, from the last stage. */
    data class Token(val token: Int) : StageResult

    /** The engine didn't give a result; [notRun] is true where it certainly ran nothing. */
    data class Failed(val detail: String, val notRun: Boolean) : StageResult
}
