package io.mimosatrail.core.placement

import io.mimosatrail.core.pipeline.LayerRange

/** Number of engines that hold each layer. */
internal class LayerCoverage(private val layers: Int) {
    private val holders = IntArray(layers)

    /** First maximal run of layers that nobody holds, or null. */
    fun firstGap(): LayerRange? {
        val first = holders.indexOf(0)
        if (first < 0) return null
        val end = (first until layers).firstOrNull { holders[it] > 0 } ?: layers
        return LayerRange(first, end)
    }

    fun add(range: LayerRange) {
        for (layer in range.first until range.end) holders[layer]++
    }

    fun remove(range: LayerRange) {
        for (layer in range.first until range.end) holders[layer]--
    }

    /** True where every layer of [range] has another holder. */
    fun isSpare(range: LayerRange): Boolean = (range.first until range.end).all { holders[it] > 1 }

    /** The window of [width] layers that adds most where least is held; the lowest one of equals. */
    fun neediestWindow(width: Int): LayerRange {
        val size = width.coerceIn(1, layers)
        val first = (0..layers - size).maxByOrNull { start -> need(start, start + size) } ?: 0
        return LayerRange(first, first + size)
    }

    private fun need(first: Int, end: Int): Double = (first until end).sumOf { NEED_BASE.pow(holders[it]) }

    private companion object {
        /** One layer without a holder counts more than a window of layers that have one. */
        const val NEED_BASE = 1.0 / 128

        fun Double.pow(exponent: Int): Double {
            var power = 1.0
            repeat(exponent) { power *= this }
            return power
        }
    }
}
