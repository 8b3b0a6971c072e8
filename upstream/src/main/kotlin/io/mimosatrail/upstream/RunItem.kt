package io.mimosatrail.upstream

/** Work of one sequence: positions [position] until [position] + [count], as token ids or as activations. */
class RunItem(
    val sequence: String,
    val position: Int,
    val count: Int,
    val tokens: List<Int>? = null,
    val activations: ByteArray? = null,
    val priority: Int = 10,
)

/** Result of a [RunItem]: boundary activations, a sampled token from the last stage, or an error. */
class RunResult(
    val sequence: String,
    val activations: ByteArray? = null,
    val token: Int? = null,
    val error: RunError? = null,
)

/** Why an item did not run. [held] is the number of positions already run, where the engine says so. */
data class RunError(val code: String, val held: Int? = null)

/** Exported KV cache of one sequence on one engine. */
class KvState(val positions: Int, val state: ByteArray)
