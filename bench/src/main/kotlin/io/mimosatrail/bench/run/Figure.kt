package io.mimosatrail.bench.run

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One measured figure; [met] is null where there is no target. */
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
