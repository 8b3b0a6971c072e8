package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/** Stages that together run every layer of a model exactly once, in order. */
@Serializable
data class Chain(val stages: List<Stage>) {
    val first: Stage get() = stages.first()
    val last: Stage get() = stages.last()

    /** True if the stages cover the layers from 0 to [layers] (exclusive) without gaps or overlaps. */
    fun covers(layers: Int): Boolean = stages.map { it.layers }.covers(layers)
}
