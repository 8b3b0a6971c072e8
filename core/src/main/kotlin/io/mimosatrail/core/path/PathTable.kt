package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange

/**
 * Shortest-path table of one [PathSearch]. A state is a pair of a layer boundary and a place.
 *
 * The states are in flat arrays for speed: a search runs for each new stream, and for all streams of an engine at once
 * when that engine is lost.
 */
internal class PathTable(private val layers: Int, private val engines: List<PathEngine>, private val costs: PathCosts) {
    private val rangeStarts = engines.map { it.layers.first }.distinct().sorted().toIntArray()
    private val allLayersMillis = DoubleArray(engines.size) { costs.allLayersMillis(engines[it]) }
    private val places = ArrayList<PlaceId>()
    private val enginePlaces = IntArray(engines.size) { placeIndex(engines[it].place) }
    private var firstSegment: PathSegment? = null
    private var crossingMillis = DoubleArray(0)

    /** Least time to reach each state; infinite if it cannot be reached. */
    private var millis = DoubleArray(0)

    /** The state before each state on its best path, or [NONE]. */
    private var previousState = IntArray(0)

    /** Index of the engine whose segment leads to each state on its best path, or [NONE]. */
    private var lastEngine = IntArray(0)

    /**
     * The best path from [from], or null if there is none. Segments end where their engine's layer range ends; if
     * [mayEndEarly], also where the range of another engine begins.
     */
    fun search(from: PlaceId, firstSegment: PathSegment?, mayEndEarly: Boolean): EnginePath? {
        reset(from, firstSegment)
        for (boundary in 0 until layers) {
            if (isReached(boundary)) extendFrom(boundary, mayEndEarly)
        }
        return bestPath()
    }

    private fun extendFrom(boundary: Int, mayEndEarly: Boolean) {
        for (index in engines.indices) {
            val held = engines[index].layers
            if (boundary < held.first || boundary >= held.end) continue
            if (boundary == 0 && !engines[index].mayBeFirst) continue
            if (mayEndEarly) {
                for (end in rangeStarts) if (end > boundary && end < held.end) extend(boundary, index, end)
            }
            extend(boundary, index, held.end)
        }
    }

    private fun reset(from: PlaceId, firstSegment: PathSegment?) {
        val place = placeIndex(firstSegment?.engine?.place ?: from)
        this.firstSegment = firstSegment
        val states = (layers + 1) * places.size
        millis = DoubleArray(states) { Double.POSITIVE_INFINITY }
        previousState = IntArray(states) { NONE }
        lastEngine = IntArray(states) { NONE }
        crossingMillis = DoubleArray(places.size * places.size) {
            costs.crossingMillis(places[it / places.size], places[it % places.size])
        }
        millis[state(firstSegment?.layers?.end ?: 0, place)] = 0.0
    }

    private fun extend(boundary: Int, engine: Int, end: Int) {
        val segment = costs.segmentMillis(engines[engine], end - boundary, allLayersMillis[engine])
        val to = state(end, enginePlaces[engine])
        for (place in places.indices) {
            val from = state(boundary, place)
            val total = millis[from] + segment + crossing(boundary, place, enginePlaces[engine])
            if (total >= millis[to]) continue
            millis[to] = total
            previousState[to] = from
            lastEngine[to] = engine
        }
    }

    private fun crossing(boundary: Int, from: Int, to: Int): Double =
        if (boundary == 0) costs.entryMillis(places[from], places[to]) else crossingMillis[from * places.size + to]

    private fun bestPath(): EnginePath? {
        var state = places.indices.map { state(layers, it) }.minByOrNull { millis[it] } ?: return null
        if (millis[state].isInfinite()) return null
        val segments = ArrayDeque<PathSegment>()
        while (previousState[state] != NONE) {
            val range = LayerRange(previousState[state] / places.size, state / places.size)
            segments.addFirst(PathSegment(engines[lastEngine[state]], range))
            state = previousState[state]
        }
        firstSegment?.let(segments::addFirst)
        return EnginePath(segments)
    }

    private fun isReached(boundary: Int): Boolean {
        for (place in places.indices) if (!millis[state(boundary, place)].isInfinite()) return true
        return false
    }

    private fun state(boundary: Int, place: Int): Int = boundary * places.size + place

    /** Index of [place] in [places], to which it is added if it is new. */
    private fun placeIndex(place: PlaceId): Int {
        val known = places.indexOf(place)
        if (known >= 0) return known
        places += place
        return places.size - 1
    }

    private companion object {
        const val NONE = -1
    }
}
