package io.mimosatrail.core.routing

/** A stage that a chain may use. [micros] is the predicted time of its work in microseconds. */
class StageCandidate(val row: UpstreamRow, val group: LayerGroup, val micros: Double)

/** Predicted time of the handover from one stage to the next, in microseconds. */
typealias LinkCost = (from: UpstreamRow, to: UpstreamRow) -> Double

/**
 * Combines the cost of a partial chain with the costs of the next link and stage. Must be monotonic: the result does
 * not decrease when an argument grows.
 */
typealias CostCombiner = (soFar: Double, link: Double, stage: Double) -> Double

/** Sum of all times; its minimum gives the shortest time to first token and the shortest recovery. */
val sumOfTimes: CostCombiner = { soFar, link, stage -> soFar + link + stage }

/** Time of the slowest link or stage; its minimum gives the highest throughput of a pipeline with concurrent stages. */
val bottleneckTime: CostCombiner = { soFar, link, stage -> maxOf(soFar, link, stage) }

/**
 * The cheapest sequence of [candidates] that runs each layer from 0 until [layers] exactly once, or null if there is
 * none.
 *
 * Dynamic programming over layer boundaries. Ties go to the candidate that comes first.
 */
fun cheapestChain(
    candidates: List<StageCandidate>,
    layers: Int,
    link: LinkCost,
    combine: CostCombiner,
): List<StageCandidate>? {
    val best = HashMap<StageCandidate, PartialChain>(candidates.size * 2)
    val endingAt = HashMap<Int, MutableList<StageCandidate>>()
    for (candidate in candidates.sortedBy { it.group.layers.first }) {
        val predecessors = endingAt[candidate.group.layers.first].orEmpty()
        val partial = cheapestPartialChain(candidate, predecessors, best, link, combine) ?: continue
        best[candidate] = partial
        endingAt.getOrPut(candidate.group.layers.end) { mutableListOf() } += candidate
    }
    val last = endingAt[layers].orEmpty().minByOrNull { best.getValue(it).cost } ?: return null
    return generateSequence(last) { best.getValue(it).previous }.toList().asReversed()
}

/** The cheapest chain from layer 0 that ends with a given candidate; [previous] is null for the first stage. */
private class PartialChain(val cost: Double, val previous: StageCandidate?)

private fun cheapestPartialChain(
    candidate: StageCandidate,
    predecessors: List<StageCandidate>,
    best: Map<StageCandidate, PartialChain>,
    link: LinkCost,
    combine: CostCombiner,
): PartialChain? {
    if (candidate.group.layers.first == 0) return PartialChain(combine(0.0, 0.0, candidate.micros), null)
    return predecessors
        .map { PartialChain(combine(best.getValue(it).cost, link(it.row, candidate.row), candidate.micros), it) }
        .minByOrNull { it.cost }
}
