package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.EngineProfile

/** One part of a path: [engine] runs [layers] of those that it holds. */
data class PathPart(val engine: PathEngine, val layers: LayerRange)

/** Parts that run every layer once, in order. */
data class EnginePath(val parts: List<PathPart>)

/**
 * Finds the path with the least expected time through the engines that hold a model's layers.
 *
 * The search runs over layer boundaries and the place of the last part. A part may end wherever its engine's layers
 * end or another engine's begin.
 */
class PathSearch(
    private val profile: EngineProfile,
    private val settings: PathSettings = PathSettings(),
    private val mayCross: (PlaceId, PlaceId) -> Boolean = { _, _ -> true },
) {
    /**
     * The best path, or null where the engines with room do not cover all layers. With [firstPart] the path begins
     * with that part, as for a stream that is under way.
     */
    fun best(engines: List<PathEngine>, demand: PathDemand, firstPart: PathPart? = null): EnginePath? {
        val table = PathTable(profile.layers, engines, PathCosts(profile, settings, demand, mayCross))
        val path = table.search(demand.place, firstPart, endsWithin = true) ?: return null
        return if (path.usesEachEngineOnce()) path else table.search(demand.place, firstPart, endsWithin = false)
    }
}

private fun EnginePath.usesEachEngineOnce(): Boolean = parts.distinctBy { it.engine.id }.size == parts.size
