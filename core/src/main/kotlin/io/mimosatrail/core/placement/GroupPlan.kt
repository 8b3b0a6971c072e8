package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange

/**
 * Builds the plan of one group of engines by local search. Where possible, each engine gets no more layers than leave
 * it KV cache for [tokens] tokens.
 */
internal class GroupPlan(
    private val profile: EngineProfile,
    private val settings: PlacementSettings,
    group: List<PlannedEngine>,
    private val tokens: Int,
) {
    private val engines = group.sortedWith(compareByDescending<PlannedEngine> { width(it) }.thenBy { it.id.value })
    private val capacity = LayerCapacity(profile.layers)

    /** The plan so far. Engines without layers are missing. */
    val ranges = LinkedHashMap<InstanceId, LayerRange>()

    /** Assigns to every engine the layers that it holds, if they fit its memory. */
    fun keepHeldLayers() {
        engines.forEach { engine -> engine.held?.takeIf { fits(engine, it) }?.let { assign(engine, it) } }
    }

    /** Assigns to each engine without layers the range that most needs capacity. */
    fun fillEmptyEngines() {
        for (engine in engines) {
            val width = width(engine)
            if (engine.id in ranges || width <= 0) continue
            assign(engine, capacity.bestWindow(width, kvTokens(engine, width)))
        }
    }

    /**
     * Repeatedly makes the change of one engine's range that lowers the cost most, as long as the gain outweighs the
     * cost of the change. Stops after [maxChanges] changes if every layer has a holder, and after [MAX_CHANGES] in any
     * case.
     */
    fun improve(maxChanges: Int) {
        var changes = 0
        while (changes < MAX_CHANGES && (capacity.hasUncoveredLayer || changes < maxChanges)) {
            val best = engines.flatMap(::changesOf).minByOrNull { it.cost } ?: return
            if (best.cost >= capacity.cost * MAX_COST_RATIO) return
            apply(best)
            changes++
        }
    }

    private class Change(val engine: PlannedEngine, val range: LayerRange, val cost: Double)

    private fun changesOf(engine: PlannedEngine): List<Change> {
        val held = ranges[engine.id] ?: return emptyList()
        unassign(engine)
        val options = shifted(held) + capacity.bestWindow(width(engine), kvTokens(engine, width(engine)))
        val changes = options.filter { it != held && fits(engine, it) }.map { range ->
            assign(engine, range)
            Change(engine, range, capacity.cost * (1 + changePenalty(held, range))).also { unassign(engine) }
        }
        assign(engine, held)
        return changes
    }

    /**
     * Penalty for the change from [held] to [range], as a share of the plan's cost. An engine that both drops and loads
     * layers serves none of them until the streams on the old layers have ended. One that only drops or only loads
     * layers continues to serve the others.
     */
    private fun changePenalty(held: LayerRange, range: LayerRange): Double {
        val kept = range.intersect(held)?.size ?: 0
        val loaded = range.size - kept
        val dropped = if (loaded > 0) held.size - kept else 0
        return loaded * LOAD_PENALTY + dropped * DROP_PENALTY
    }

    /** Ranges that begin or end a few layers away from [held]. */
    private fun shifted(held: LayerRange): List<LayerRange> = SHIFTS.flatMap { shift ->
        listOf(
            held.first - shift to held.end,
            held.first + shift to held.end,
            held.first to held.end - shift,
            held.first to held.end + shift,
            held.first - shift to held.end - shift,
            held.first + shift to held.end + shift,
        )
    }.filter { (first, end) -> first in 0 until end && end <= profile.layers }
        .map { (first, end) -> LayerRange(first, end) }

    private fun apply(change: Change) {
        unassign(change.engine)
        assign(change.engine, change.range)
    }

    private fun assign(engine: PlannedEngine, range: LayerRange) {
        ranges[engine.id] = range
        capacity.add(range, kvTokens(engine, range.size))
    }

    private fun unassign(engine: PlannedEngine) {
        ranges.remove(engine.id)?.let { capacity.remove(it, kvTokens(engine, it.size)) }
    }

    private fun kvTokens(engine: PlannedEngine, layers: Int): Int = profile.kvCapacityTokens(engine.accelerator, layers)

    private fun fits(engine: PlannedEngine, range: LayerRange): Boolean =
        range.end <= profile.layers && range.size <= profile.maxLayers(engine.accelerator, settings.minTokens)

    /** Number of layers that [engine] gets if it is planned anew. */
    private fun width(engine: PlannedEngine): Int = profile.maxLayers(engine.accelerator, tokens)

    private companion object {
        /** Limit on the changes of one plan. */
        const val MAX_CHANGES = 60

        /** A change must lower the cost, its penalty included, by at least a tenth. */
        const val MAX_COST_RATIO = 0.9

        /** Penalty for each layer to load, as a share of the cost. */
        const val LOAD_PENALTY = 0.01

        /** Penalty for each layer that is dropped when others are loaded, as a share of the cost. */
        const val DROP_PENALTY = 0.06

        /** Numbers of layers by which a range is moved, extended or shortened. */
        val SHIFTS = listOf(1, 2, 3, 5, 8, 12)
    }
}
