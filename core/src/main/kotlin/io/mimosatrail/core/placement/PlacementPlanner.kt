package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange

/**
 * Decides which layers each engine holds.
 *
 * The engines of a place form a group that holds the whole model, so that streams need not cross places. Places that
 * are too small to hold the model together form one group. The plan is a pure function of its inputs. Since loading
 * takes seconds, engines keep the layers that they hold unless a layer has no holder or little capacity.
 */
class PlacementPlanner(private val profile: EngineProfile, private val settings: PlacementSettings) {
    /** The layers of each of [engines]. Engines that are missing from the result hold none. */
    fun plan(engines: List<PlannedEngine>): Map<InstanceId, LayerRange> =
        groups(engines).flatMap { planGroup(it).entries }.associate { it.key to it.value }

    private fun groups(engines: List<PlannedEngine>): List<List<PlannedEngine>> {
        val (complete, incomplete) = engines.groupBy { it.place }.toSortedMap(compareBy { it.value }).values
            .partition { group -> totalLayers(group, settings.minTokens) >= profile.layers }
        val rest = incomplete.flatten()
        return if (rest.isEmpty()) complete else complete + listOf(rest)
    }

    private fun planGroup(group: List<PlannedEngine>): Map<InstanceId, LayerRange> {
        val plan = GroupPlan(profile, settings, group, tokensFor(group))
        plan.keepHeldLayers()
        plan.fillEmptyEngines()
        plan.improve(if (group.all { it.held == null }) Int.MAX_VALUE else settings.maxChangesPerGroup)
        return plan.ranges
    }

    /**
     * The most tokens of KV cache per engine with which the group still holds the wanted number of copies of each
     * layer, or else one copy.
     */
    private fun tokensFor(group: List<PlannedEngine>): Int {
        val wanted = (profile.layers * settings.copies).toInt()
        return tokenOptions().firstOrNull { totalLayers(group, it) >= wanted }
            ?: tokenOptions().firstOrNull { totalLayers(group, it) >= profile.layers }
            ?: settings.minTokens
    }

    private fun tokenOptions(): Sequence<Int> =
        generateSequence(settings.maxTokens) { it - settings.tokenStep }.takeWhile { it >= settings.minTokens }

    /** Layers that the engines of [group] can hold together, with copies, with KV cache for [tokens] tokens on each. */
    private fun totalLayers(group: List<PlannedEngine>, tokens: Int): Int =
        group.sumOf { profile.maxLayers(it.accelerator, tokens) }
}

/** Targets and limits of the placement. Tokens are the KV cache that each engine has left beside its layers. */
data class PlacementSettings(
    /** Wanted number of copies of each layer in a group, on average. */
    val copies: Double = 1.3,

    /** Lower limit, also for an engine that takes over layers of a lost one. */
    val minTokens: Int = 4_000,

    /** Engines in a group whose layers one plan changes if all layers have a holder. */
    val maxChangesPerGroup: Int = 2,

    /** Upper limit of the tokens that are tried as target. */
    val maxTokens: Int = 120_000,

    /** Difference between the targets that are tried. */
    val tokenStep: Int = 1_000,
)
