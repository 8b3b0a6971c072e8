package io.mimosatrail.core.placement

import io.mimosatrail.core.pipeline.LayerRange

/**
 * KV cache of each layer, in tokens, summed over the engines that hold it.
 *
 * The [cost] of a plan is the sum of the costs of its layers. The cost of a layer grows with the inverse square of its
 * capacity, so the layers with the least capacity decide; a layer without a holder outweighs all others.
 */
internal class LayerCapacity(private val layers: Int) {
    private val tokensByLayer = DoubleArray(layers)

    /** True if a layer has no KV cache at all, as one without a holder. */
    val hasUncoveredLayer: Boolean get() = tokensByLayer.any { it <= 0.0 }

    val cost: Double get() = tokensByLayer.sumOf(::costOf)

    fun add(range: LayerRange, tokens: Int) {
        for (layer in range.first until range.end) tokensByLayer[layer] += tokens.toDouble()
    }

    fun remove(range: LayerRange, tokens: Int) = add(range, -tokens)

    /** The window of [width] layers where [tokens] more tokens lower the cost most; the lowest one if several do. */
    fun bestWindow(width: Int, tokens: Int): LayerRange {
        val size = width.coerceIn(1, layers)
        val first = (0..layers - size).maxByOrNull { start -> (start until start + size).sumOf { gain(it, tokens) } }
        return LayerRange(first ?: 0, (first ?: 0) + size)
    }

    private fun gain(layer: Int, tokens: Int): Double =
        costOf(tokensByLayer[layer]) - costOf(tokensByLayer[layer] + tokens)

    private fun costOf(tokens: Double): Double {
        if (tokens <= 0.0) return UNCOVERED_COST
        val shortage = REFERENCE_TOKENS / tokens
        return shortage * shortage
    }

    private companion object {
        /** Capacity at which a layer costs 1; enough for about ten streams. */
        const val REFERENCE_TOKENS = 10_000.0
        const val UNCOVERED_COST = 1e6
    }
}
