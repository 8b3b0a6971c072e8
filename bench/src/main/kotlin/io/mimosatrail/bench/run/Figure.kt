package io.mimosatrail.bench.run

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One measured figure of a benchmark. [unit] is the unit of [value], [target] and [baseline] (the same figure of the
 * variant that the value is compared with). [met] is null if there is no target.
 */
@Serializable
data class Figure(
    val bench: String,
    val figure: String,
    val unit: String,
    val value: Double,
    val baseline: Double? = null,
    val target: Double? = null,
    val met: Boolean? = null,
    @SerialName("seed") val seed: Long,
)
