package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange

/**
 * The states of one path search, a layer boundary and a place each, in flat arrays: a search runs for each stream, and
 * for every stream of an engine at the moment when that is lost.
 */
internal class PathTable(private val layers: Int, private val engines: List<PathEngine>, private val costs: PathCosts) {
    private val starts = engines.map { it.layers.first }.distinct().sorted().toIntArray()
    private val wholeMillis = DoubleArray(engines.size) { costs.allLayersMillis(engines[it]) }
    private val places = ArrayList<PlaceId>()
    private val placeOf = IntArray(engines.size) { placeIndex(engines[it].place) }
    private var firstPart: PathPart? = null
    private var crossings = DoubleArray(0)
    private var millis = DoubleArray(0)
    private var before = IntArray(0)
    private var engineAt = IntArray(0)

    /** The best path from [from]. Its parts end only where their engines' layers end, unless [endsWithin] is set. */
    fun search(from: PlaceId, firstPart: PathPart?, endsWithin: Boolean): EnginePath? {
        begin(from, firstPart)
        for (boundary in 0 until layers) {
            if (isReached(boundary)) extendFrom(boundary, endsWithin)
        }
        return path()
    }

    private fun extendFrom(boundary: Int, endsWithin: Boolean) {
        for (index in engines.indices) {
            val held = engines[index].layers
            if (boundary < held.first || boundary >= held.end) continue
            if (endsWithin) {
                for (end in starts) if (end > boundary && end < held.end) extend(boundary, index, end)
            }
            extend(boundary, index, held.end)
        }
    }

    private fun begin(from: PlaceId, firstPart: PathPart?) {
        val place = placeIndex(firstPart?.engine?.place ?: from)
        this.firstPart = firstPart
        val states = (layers + 1) * places.size
        millis = DoubleArray(states) { Double.POSITIVE_INFINITY }
        before = IntArray(states) { NONE }
        engineAt = IntArray(states) { NONE }
        crossings = DoubleArray(places.size * places.size) {
            costs.crossingMillis(places[it / places.size], places[it % places.size])
        }
        millis[state(firstPart?.layers?.end ?: 0, place)] = 0.0
    }

    private fun extend(boundary: Int, index: Int, end: Int) {
        val part = costs.partMillis(engines[index], end - boundary, wholeMillis[index])
        val to = state(end, placeOf[index])
        for (place in places.indices) {
            val from = state(boundary, place)
            val total = millis[from] + part + crossing(boundary, place, placeOf[index])
            if (total >= millis[to]) continue
            millis[to] = total
            before[to] = from
            engineAt[to] = index
        }
    }

    private fun crossing(boundary: Int, from: Int, to: Int): Double =
        if (boundary == 0) costs.entryMillis(places[from], places[to]) else crossings[from * places.size + to]

    private fun path(): EnginePath? {
        var state = places.indices.map { state(layers, it) }.minByOrNull { millis[it] } ?: return null
        if (millis[state].isInfinite()) return null
        val parts = ArrayDeque<PathPart>()
        while (before[state] != NONE) {
            val range = LayerRange(before[state] / places.size, state / places.size)
            parts.addFirst(PathPart(engines[engineAt[state]], range))
            state = before[state]
        }
        firstPart?.let(parts::addFirst)
        return EnginePath(parts)
    }

    private fun isReached(boundary: Int): Boolean {
        for (place in places.indices) if (!millis[state(boundary, place)].isInfinite()) return true
        return false
    }

    private fun state(boundary: Int, place: Int): Int = boundary * places.size + place

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
