package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange

/** Builds the plan of one group of engines, each with room for [tokens] tokens where that can be had. */
internal class GroupPlan(
    private val profile: EngineProfile,
    private val settings: PlacementSettings,
    group: List<PlannedEngine>,
    private val tokens: Int,
) {
    private val engines = group.sortedWith(compareByDescending<PlannedEngine> { width(it) }.thenBy { it.id.value })
    private val coverage = LayerCoverage(profile.layers)

    val ranges = LinkedHashMap<InstanceId, LayerRange>()

    /** Leaves every engine with what it holds where that fits its memory. */
    fun keepStanding() {
        engines.forEach { engine -> engine.held?.takeIf { fits(engine, it) }?.let { assign(engine, it) } }
    }

    /** Gives the engines that hold nothing the layers with the fewest holders. */
    fun placeEmpty() {
        engines.filter { it.id !in ranges && width(it) > 0 }
            .forEach { assign(it, coverage.neediestWindow(width(it))) }
    }

    /**
     * Gives every layer a holder. Neighbours of a gap take it over if that leaves them room, since that frees nothing
     * that is in use; else engines move whose layers all have another holder; else neighbours take what just fits.
     */
    fun closeGaps() {
        repeat(MOST_CHANGES) {
            val gap = coverage.firstGap() ?: return
            val isCloser = widenNeighbour(gap, settings.widenedTokens) || moveSpare(gap) ||
                widenNeighbour(gap, settings.leastTokens)
            if (!isCloser) return
        }
    }

    private fun moveSpare(gap: LayerRange): Boolean {
        val spares = engines.filter { engine -> ranges[engine.id]?.let(coverage::isSpare) ?: false }
        val spare = spares.minByOrNull { engine -> shortfall(gap, width(engine)) } ?: return false
        coverage.remove(ranges.getValue(spare.id))
        assign(spare, coverage.neediestWindow(width(spare)))
        return true
    }

    /** Layers of the gap left open by an engine of [width] layers; one that is wider than the gap wastes a little. */
    private fun shortfall(gap: LayerRange, width: Int): Double =
        if (width >= gap.size) (width - gap.size) * WASTE else (gap.size - width).toDouble()

    private fun widenNeighbour(gap: LayerRange, leastRoom: Int): Boolean {
        fun most(engine: PlannedEngine) = profile.layersWithRoom(engine.accelerator, leastRoom)
        val neighbour = engines.filter { engine -> ranges[engine.id]?.let { it touches gap } ?: false }
            .maxByOrNull { most(it) - ranges.getValue(it.id).size } ?: return false
        val held = ranges.getValue(neighbour.id)
        val extra = minOf(gap.size, most(neighbour) - held.size)
        if (extra <= 0) return false
        coverage.remove(held)
        val wider = if (held.end == gap.first) {
            LayerRange(held.first, held.end + extra)
        } else {
            LayerRange(held.first - extra, held.end)
        }
        assign(neighbour, wider)
        return true
    }

    private fun assign(engine: PlannedEngine, range: LayerRange) {
        ranges[engine.id] = range
        coverage.add(range)
    }

    private fun fits(engine: PlannedEngine, range: LayerRange): Boolean =
        range.end <= profile.layers && range.size <= profile.layersWithRoom(engine.accelerator, settings.leastTokens)

    private fun width(engine: PlannedEngine): Int = profile.layersWithRoom(engine.accelerator, tokens)

    private infix fun LayerRange.touches(gap: LayerRange): Boolean = end == gap.first || first == gap.end

    private companion object {
        /** Cost of a layer beyond the gap, relative to a layer that stays open. */
        const val WASTE = 0.01

        /** Bound on the steps of closing gaps. */
        const val MOST_CHANGES = 200
    }
}
