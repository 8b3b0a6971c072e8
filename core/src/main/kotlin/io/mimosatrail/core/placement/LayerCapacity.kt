package io.mimosatrail.core.placement

import io.mimosatrail.core.pipeline.LayerRange

/**
 * Room in tokens that the holders of each layer have together.
 *
 * The [cost] of a plan grows with the square of what the layers with little room lack, so that a plan is as good as its
 * weakest layers; a layer without a holder outweighs all others.
 */
internal class LayerCapacity(private val layers: Int) {
    private val room = DoubleArray(layers)

    val hasGap: Boolean get() = room.any { it <= 0.0 }

    val cost: Double get() = room.sumOf(::costOf)

    fun add(range: LayerRange, tokens: Int) {
        for (layer in range.first until range.end) room[layer] += tokens.toDouble()
    }

    fun remove(range: LayerRange, tokens: Int) = add(range, -tokens)

    /** The window of [width] layers in which room for [tokens] takes most cost away; the lowest of equals. */
    fun neediestWindow(width: Int, tokens: Int): LayerRange {
        val size = width.coerceIn(1, layers)
        val first = (0..layers - size).maxByOrNull { start -> (start until start + size).sumOf { relief(it, tokens) } }
        return LayerRange(first ?: 0, (first ?: 0) + size)
    }

    private fun relief(layer: Int, tokens: Int): Double = costOf(room[layer]) - costOf(room[layer] + tokens)

    private fun costOf(tokens: Double): Double {
        if (tokens <= 0.0) return GAP_COST
        val lack = REFERENCE_TOKENS / tokens
        return lack * lack
    }

    private companion object {
        /** Some ten streams; a layer with this much room costs 1. */
        const val REFERENCE_TOKENS = 10_000.0
        const val GAP_COST = 1e6
    }
}
