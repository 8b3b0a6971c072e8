package io.mimosatrail.upstream

/** Work for one sequence: [count] positions from [position] on, given as token ids or as activations. */
class RunItem(
    val sequence: String,
    val position: Int,
    val count: Int,
    val tokens: List<Int>? = null,
    val activations: ByteArray? = null,
    val priority: Int = 10,
)

/** Result of a [RunItem]: activations after the last layer of the engine, a sampled token, or an error. */
class RunResult(
    val sequence: String,
    val activations: ByteArray? = null,
    val token: Int? = null,
    val error: RunError? = null,
)

/** Why an item did not run. [cachedPositions] is the number of positions run before, or null if unknown. */
data class RunError(val code: String, val cachedPositions: Int? = null)

/** KV cache of one sequence exported by an engine. It covers the first [positions] positions. */
class KvState(val positions: Int, val state: ByteArray)
