package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.RequestId

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

/** True where the result has the kind and size that [work] demands; [last] tells that the stage samples. */
internal fun StageResult.fits(work: StageWork, last: Boolean): Boolean = when (this) {
    is StageResult.Activations -> !last && bytes.isNotEmpty() && bytes.size % work.count == 0
    is StageResult.Token -> last
    is StageResult.Failed -> false
}
