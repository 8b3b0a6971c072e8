package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.RequestId

/**
 * Work for the engine: the positions from [position] to [end] (exclusive) of one sequence, for the token [index].
 *
 * [input] holds token ids if [firstStage] is true, otherwise boundary activations. If [snapshot] is not null, the
 * engine imports it before it runs the positions.
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
    /** End of the positions, exclusive. */
    val end: Int get() = position + count
}

/** Result of a [StageWork] on the engine. */
sealed interface StageResult {
    /** Boundary activations for the next stage. */
    class Activations(val bytes: ByteArray) : StageResult

    /** A token sampled by the last stage. */
    data class Token(val token: Int) : StageResult

    /** The engine failed. [notRun] is true only if it is certain that nothing ran. */
    data class Failed(val detail: String, val notRun: Boolean) : StageResult
}

/**
 * True if the result has the type and size expected for [work]: a token from the [last] stage, otherwise activations
 * of equal size for each position.
 */
internal fun StageResult.fits(work: StageWork, last: Boolean): Boolean = when (this) {
    is StageResult.Activations -> !last && bytes.isNotEmpty() && bytes.size % work.count == 0
    is StageResult.Token -> last
    is StageResult.Failed -> false
}
