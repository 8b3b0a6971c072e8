package io.mimosatrail.core.pipeline

import kotlinx.serialization.Serializable

/** Model layers from [first] to [end] (exclusive). */
@Serializable
data class LayerRange(val first: Int, val end: Int) {
    init {
        require(first in 0 until end) { "layer range $first..<$end is empty or negative" }
    }

    /** Number of layers. */
    val size: Int get() = end - first

    /** The layers that both ranges contain, or null if there are none. */
    infix fun intersect(other: LayerRange): LayerRange? {
        val from = maxOf(first, other.first)
        val to = minOf(end, other.end)
        return if (from < to) LayerRange(from, to) else null
    }

    override fun toString(): String = "$first..<$end"
}

/** True if the ranges contain each of the layers from 0 to [layers] (exclusive) exactly once, in order. */
fun List<LayerRange>.covers(layers: Int): Boolean {
    var next = 0
    for (range in this) {
        if (range.first != next) return false
        next = range.end
    }
    return next == layers
}
