package io.mimosatrail.core.placement

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange

/**
 * Decides which layers each engine holds.
 *
 * The engines of one place form a group that holds the whole model, so that a stream need not cross places; places
 * that are too small for that form one group together. The plan is a pure function of its inputs. It keeps what
 * engines hold already unless a layer is left without a holder or with little room, since loading takes seconds.
 */
class PlacementPlanner(private val profile: EngineProfile, private val settings: PlacementSettings) {
    /** The layers for each engine of [engines]; an engine that is missing in the result holds nothing. */
    fun plan(engines: List<PlannedEngine>): Map<InstanceId, LayerRange> =
        groups(engines).flatMap { planGroup(it).entries }.associate { it.key to it.value }

    private fun groups(engines: List<PlannedEngine>): List<List<PlannedEngine>> {
        val (whole, parts) = engines.groupBy { it.place }.toSortedMap(compareBy { it.value }).values
            .partition { group -> widthSum(group, settings.leastTokens) >= profile.layers }
        val rest = parts.flatten()
        return if (rest.isEmpty()) whole else whole + listOf(rest)
    }

    private fun planGroup(group: List<PlannedEngine>): Map<InstanceId, LayerRange> {
        val plan = GroupPlan(profile, settings, group, tokensFor(group))
        plan.keepStanding()
        plan.placeEmpty()
        plan.improve(if (group.all { it.held == null }) Int.MAX_VALUE else settings.changesAtOnce)
        return plan.ranges
    }

    /** Room in tokens at which the group's engines together hold the wished number of copies. */
    private fun tokensFor(group: List<PlannedEngine>): Int {
        val wished = (profile.layers * settings.copies).toInt()
        return roomSteps().firstOrNull { widthSum(group, it) >= wished }
            ?: roomSteps().firstOrNull { widthSum(group, it) >= profile.layers }
            ?: settings.leastTokens
    }

    private fun roomSteps(): Sequence<Int> =
        generateSequence(settings.mostTokens) { it - settings.tokenStep }.takeWhile { it >= settings.leastTokens }

    private fun widthSum(group: List<PlannedEngine>, tokens: Int): Int =
        group.sumOf { profile.layersWithRoom(it.accelerator, tokens) }
}

/**
 * Aims of the placement, in tokens of KV cache that each engine has room for and in [copies] of each layer in a group.
 * An engine that takes over layers of a lost neighbour keeps room for [leastTokens] at any rate. A standing plan that
 * covers all layers is changed in steps of [changesAtOnce] engines a group.
 */
data class PlacementSettings(
    val copies: Double = 1.3,
    val leastTokens: Int = 4_000,
    val changesAtOnce: Int = 2,
    val mostTokens: Int = 120_000,
    val tokenStep: Int = 1_000,
)
