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
    private val capacity = LayerCapacity(profile.layers)

    val ranges = LinkedHashMap<InstanceId, LayerRange>()

    /** Leaves every engine with what it holds where that fits its memory. */
    fun keepStanding() {
        engines.forEach { engine -> engine.held?.takeIf { fits(engine, it) }?.let { assign(engine, it) } }
    }

    /** Gives the engines that hold nothing the layers that need them most. */
    fun placeEmpty() {
        for (engine in engines) {
            val width = width(engine)
            if (engine.id in ranges || width <= 0) continue
            assign(engine, capacity.neediestWindow(width, room(engine, width)))
        }
    }

    /**
     * Changes the range of one engine after the other while that pays. Every layer gets a holder whatever it takes;
     * beyond that at most [most] changes are made, each worth its load.
     */
    fun improve(most: Int) {
        var changes = 0
        while (changes < MOST_CHANGES && (capacity.hasGap || changes < most)) {
            val best = engines.flatMap(::changesOf).minByOrNull { it.cost } ?: return
            if (best.cost >= capacity.cost * LEAST_GAIN) return
            apply(best)
            changes++
        }
    }

    private class Change(val engine: PlannedEngine, val range: LayerRange, val cost: Double)

    private fun changesOf(engine: PlannedEngine): List<Change> {
        val held = ranges[engine.id] ?: return emptyList()
        unassign(engine)
        val options = steps(held) + capacity.neediestWindow(width(engine), room(engine, width(engine)))
        val changes = options.filter { it != held && fits(engine, it) }.map { range ->
            assign(engine, range)
            Change(engine, range, capacity.cost * (1 + effort(held, range))).also { unassign(engine) }
        }
        assign(engine, held)
        return changes
    }

    /**
     * Share of the cost that a change must win back. An engine that gives up layers and takes others serves neither
     * until the streams on the old ones have ended; one that only gives up or only takes some serves on.
     */
    private fun effort(held: LayerRange, range: LayerRange): Double {
        val kept = range.intersect(held)?.size ?: 0
        val loaded = range.size - kept
        val dropped = if (loaded > 0) held.size - kept else 0
        return loaded * LOAD_COST + dropped * DROP_COST
    }

    /** Ranges that begin or end a few layers away from [held]. */
    private fun steps(held: LayerRange): List<LayerRange> = STEPS.flatMap { step ->
        listOf(
            held.first - step to held.end,
            held.first + step to held.end,
            held.first to held.end - step,
            held.first to held.end + step,
            held.first - step to held.end - step,
            held.first + step to held.end + step,
        )
    }.filter { (first, end) -> first in 0 until end && end <= profile.layers }
        .map { (first, end) -> LayerRange(first, end) }

    private fun apply(change: Change) {
        unassign(change.engine)
        assign(change.engine, change.range)
    }

    private fun assign(engine: PlannedEngine, range: LayerRange) {
        ranges[engine.id] = range
        capacity.add(range, room(engine, range.size))
    }

    private fun unassign(engine: PlannedEngine) {
        ranges.remove(engine.id)?.let { capacity.remove(it, room(engine, it.size)) }
    }

    private fun room(engine: PlannedEngine, held: Int): Int = profile.tokenRoom(engine.accelerator, held)

    private fun fits(engine: PlannedEngine, range: LayerRange): Boolean =
        range.end <= profile.layers && range.size <= profile.layersWithRoom(engine.accelerator, settings.leastTokens)

    private fun width(engine: PlannedEngine): Int = profile.layersWithRoom(engine.accelerator, tokens)

    private companion object {
        /** Bound on the changes of one plan. */
        const val MOST_CHANGES = 60

        /** A change must take a tenth of the cost away. */
        const val LEAST_GAIN = 0.9

        /** Each layer to load, or to drop for others, counts as so much of the cost. */
        const val LOAD_COST = 0.01
        const val DROP_COST = 0.06

        val STEPS = listOf(1, 2, 3, 5, 8, 12)
    }
}
