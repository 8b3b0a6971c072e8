package io.mimosatrail.core.routing

/** A stage that a chain may use, with the predicted time of its work in microseconds. */
class StageCandidate(val row: UpstreamRow, val group: LayerGroup, val micros: Double)

/** Predicted time to hand over from one stage to the next, in microseconds. */
typealias LinkCost = (from: UpstreamRow, to: UpstreamRow) -> Double

/** Joins the cost of a chain so far with that of one more link and stage; must not fall as any of them grows. */
typealias CostJoin = (soFar: Double, link: Double, stage: Double) -> Double

/** Adds the times up: the shortest first token and recovery. */
val sumOfTimes: CostJoin = { soFar, link, stage -> soFar + link + stage }

/** Takes the slowest part: the highest rate of a pipeline whose stages work side by side. */
val slowestPart: CostJoin = { soFar, link, stage -> maxOf(soFar, link, stage) }

/**
 * The cheapest sequence of [candidates] that runs layers 0 until [layers] each once, or null where none does.
 *
 * Dynamic programming over layer boundaries; ties fall to the candidate that stands first.
 */
fun cheapestChain(
    candidates: List<StageCandidate>,
    layers: Int,
    link: LinkCost,
    join: CostJoin,
): List<StageCandidate>? {
    val best = HashMap<StageCandidate, Step>(candidates.size * 2)
    val endingAt = HashMap<Int, MutableList<StageCandidate>>()
    for (candidate in candidates.sortedBy { it.group.layers.first }) {
        val step = bestStep(candidate, endingAt[candidate.group.layers.first].orEmpty(), best, link, join) ?: continue
        best[candidate] = step
        endingAt.getOrPut(candidate.group.layers.end) { mutableListOf() } += candidate
    }
    val last = endingAt[layers].orEmpty().minByOrNull { best.getValue(it).cost } ?: return null
    return generateSequence(last) { best.getValue(it).previous }.toList().asReversed()
}

private class Step(val cost: Double, val previous: StageCandidate?)

private fun bestStep(
    candidate: StageCandidate,
    before: List<StageCandidate>,
    best: Map<StageCandidate, Step>,
    link: LinkCost,
    join: CostJoin,
): Step? {
    if (candidate.group.layers.first == 0) return Step(join(0.0, 0.0, candidate.micros), null)
    return before
        .map { Step(join(best.getValue(it).cost, link(it.row, candidate.row), candidate.micros), it) }
        .minByOrNull { it.cost }
}
