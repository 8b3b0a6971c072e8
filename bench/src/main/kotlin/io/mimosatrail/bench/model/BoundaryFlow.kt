package io.mimosatrail.bench.model

import io.mimosatrail.core.pipeline.LayerRange

/** Maximum flow from layer 0 to [layers] where each layer range carries its rate: the rate of the narrowest cut. */
internal fun boundaryFlow(rates: Map<LayerRange, Double>, layers: Int): Double {
    val residual = HashMap<Pair<Int, Int>, Double>()
    rates.forEach { (range, rate) -> residual.merge(range.first to range.end, rate, Double::plus) }
    var total = 0.0
    while (true) {
        val path = openPath(residual, layers) ?: return total
        val amount = path.minOf { residual.getValue(it) }
        path.forEach { edge ->
            residual.merge(edge, -amount, Double::plus)
            residual.merge(edge.second to edge.first, amount, Double::plus)
        }
        total += amount
    }
}

private const val LEAST_RATE = 1e-6

private fun openPath(residual: Map<Pair<Int, Int>, Double>, layers: Int): List<Pair<Int, Int>>? {
    val reachedBy = HashMap<Int, Pair<Int, Int>>()
    val open = ArrayDeque(listOf(0))
    while (open.isNotEmpty()) {
        val at = open.removeFirst()
        if (at == layers) return generateSequence(reachedBy[at]) { reachedBy[it.first] }.toList()
        residual.keys.filter { it.first == at && residual.getValue(it) > LEAST_RATE }.forEach { edge ->
            if (edge.second != 0 && reachedBy.putIfAbsent(edge.second, edge) == null) open += edge.second
        }
    }
    return null
}
