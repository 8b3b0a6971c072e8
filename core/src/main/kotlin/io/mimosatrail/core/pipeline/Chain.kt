package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/** Stages that together run every layer of a model once, in order. */
@Serializable
data class Chain(val stages: List<Stage>) {
    val first: Stage get() = stages.first()
    val last: Stage get() = stages.last()

    /** True where the stages cover layers 0 until [layers] without gap or overlap. */
    fun covers(layers: Int): Boolean = stages.map { it.layers }.covers(layers)
}
