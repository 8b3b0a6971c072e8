package io.mimosatrail.bench.model

import io.mimosatrail.core.pipeline.LayerRange

/** Maximum flow from layer 0 to [layers], where each layer range is an edge whose capacity is its rate. */
internal fun boundaryFlow(rates: Map<LayerRange, Double>, layers: Int): Double {
    val residual = HashMap<Pair<Int, Int>, Double>()
    rates.forEach { (range, rate) -> residual.merge(range.first to range.end, rate, Double::plus) }
    var total = 0.0
    while (true) {
        val path = augmentingPath(residual, layers) ?: return total
        val amount = path.minOf { residual.getValue(it) }
        path.forEach { edge ->
            residual.merge(edge, -amount, Double::plus)
            residual.merge(edge.second to edge.first, amount, Double::plus)
        }
        total += amount
    }
}

/** Residual rates up to this are rounding errors. */
private const val MIN_RESIDUAL_RATE = 1e-6

/** Shortest path with residual capacity, from its last edge to its first; null if there is none. */
private fun augmentingPath(residual: Map<Pair<Int, Int>, Double>, layers: Int): List<Pair<Int, Int>>? {
    val reachedBy = HashMap<Int, Pair<Int, Int>>()
    val queue = ArrayDeque(listOf(0))
    while (queue.isNotEmpty()) {
        val at = queue.removeFirst()
        if (at == layers) return generateSequence(reachedBy[at]) { reachedBy[it.first] }.toList()
        residual.keys.filter { it.first == at && residual.getValue(it) > MIN_RESIDUAL_RATE }.forEach { edge ->
            if (edge.second != 0 && reachedBy.putIfAbsent(edge.second, edge) == null) queue += edge.second
        }
    }
    return null
}
