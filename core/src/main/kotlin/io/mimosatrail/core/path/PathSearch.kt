package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.EngineProfile

/** A step of a path: [engine] runs [layers], which are all or some of the layers that it holds. */
data class PathSegment(val engine: PathEngine, val layers: LayerRange)

/** Segments that together run every layer once, in order. */
data class EnginePath(val segments: List<PathSegment>)

/**
 * Finds the path with the least expected time through the engines that hold a model's layers.
 *
 * This is a shortest-path search over pairs of a layer boundary and the place of the last segment. A segment ends at
 * the end of its engine's layer range or where the range of another engine begins.
 */
class PathSearch(
    private val profile: EngineProfile,
    private val settings: PathSettings = PathSettings(),
    private val mayCross: (PlaceId, PlaceId) -> Boolean = { _, _ -> true },
) {
    /**
     * The path with the least expected time, or null if the engines with enough free KV cache do not cover all layers.
     * If [firstSegment] is set, the path begins with it, as a running stream stays on its first engine.
     */
    fun best(engines: List<PathEngine>, demand: PathDemand, firstSegment: PathSegment? = null): EnginePath? {
        val table = PathTable(profile.layers, engines, PathCosts(profile, settings, demand, mayCross))
        val path = table.search(demand.place, firstSegment, mayEndEarly = true) ?: return null
        // A path whose segments end early may use an engine twice; one of whole ranges does not.
        return if (path.usesEachEngineOnce()) path else table.search(demand.place, firstSegment, mayEndEarly = false)
    }
}

private fun EnginePath.usesEachEngineOnce(): Boolean = segments.distinctBy { it.engine.id }.size == segments.size
