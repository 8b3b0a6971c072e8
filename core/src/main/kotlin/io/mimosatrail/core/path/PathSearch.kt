package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.EngineProfile

/** One part of a path: [engine] runs [layers] of those that it holds. */
data class PathPart(val engine: PathEngine, val layers: LayerRange)

/** Parts that run every layer once, in order, and the time that the whole stream is expected to take. */
data class EnginePath(val parts: List<PathPart>, val expectedMillis: Double)

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
    fun best(engines: List<PathEngine>, demand: PathDemand, firstPart: PathPart? = null): EnginePath? =
        search(engines, demand, firstPart, endsWithin = true)?.takeIf { it.usesEachEngineOnce() }
            ?: search(engines, demand, firstPart, endsWithin = false)

    private fun search(
        engines: List<PathEngine>,
        demand: PathDemand,
        firstPart: PathPart?,
        endsWithin: Boolean,
    ): EnginePath? {
        val starts = engines.map { it.layers.first }.toSortedSet()
        val reached = Array(profile.layers + 1) { HashMap<PlaceId, Step>() }
        if (firstPart == null) {
            reached[0][demand.place] = Step(0.0, null, null)
        } else {
            reached[firstPart.layers.end][firstPart.engine.place] = Step(0.0, firstPart, null)
        }
        for (boundary in 0 until profile.layers) {
            if (reached[boundary].isEmpty()) continue
            for (engine in engines) {
                if (boundary < engine.layers.first || boundary >= engine.layers.end) continue
                for (end in ends(engine, boundary, starts, endsWithin)) {
                    extend(reached, boundary, PathPart(engine, LayerRange(boundary, end)), demand)
                }
            }
        }
        val last = reached[profile.layers].values.minByOrNull { it.millis } ?: return null
        return EnginePath(last.parts(), last.millis)
    }

    private fun ends(engine: PathEngine, boundary: Int, starts: Set<Int>, endsWithin: Boolean): List<Int> =
        if (endsWithin) {
            starts.filter { it > boundary && it < engine.layers.end } + engine.layers.end
        } else {
            listOf(engine.layers.end)
        }

    private fun extend(reached: Array<HashMap<PlaceId, Step>>, boundary: Int, part: PathPart, demand: PathDemand) {
        val partMillis = partMillis(part, demand) ?: return
        val to = reached[part.layers.end]
        for ((place, step) in reached[boundary]) {
            val crossing = crossing(place, part.engine.place, boundary, demand) ?: continue
            val millis = step.millis + partMillis + crossing
            val known = to[part.engine.place]
            if (known == null || millis < known.millis) to[part.engine.place] = Step(millis, part, step)
        }
    }

    /** Expected time on one part over the whole stream, or null where its KV cache has no room. */
    private fun partMillis(part: PathPart, demand: PathDemand): Double? {
        val engine = part.engine
        val used = (engine.tokenLayers + demand.tokens.toDouble() * part.layers.size) / engine.room
        if (used > settings.fullShare) return null
        val share = part.layers.size.toDouble() / profile.layers
        val read = demand.promptTokens * 1_000 / profile.promptTokensPerSecond * engine.accelerator.promptFactor
        val step = profile.step.inWholeMicroseconds / 1e3 +
            (engine.sequences + 1) * profile.stepPerSequence.inWholeNanoseconds / 1e6
        val write = demand.outputTokens * step * engine.accelerator.stepFactor * settings.passesPerToken
        val crowding = 1 + settings.crowdingWeight * used * used
        return (read + write) * share * engine.slowness * crowding + demand.outputTokens * settings.hopMillis
    }

    /** Expected time for crossing from place to place, or null where the pipe between them bears no more. */
    private fun crossing(from: PlaceId, to: PlaceId, boundary: Int, demand: PathDemand): Double? {
        if (from == to) return 0.0
        if (boundary == 0) return demand.outputTokens * settings.remoteMillis
        if (!mayCross(from, to)) return null
        val bytes = profile.activationBytes.toDouble() * demand.tokens
        val transfer = bytes / profile.crossPlaceBytesPerSecond * 1_000
        return transfer * settings.crossingWeight + demand.outputTokens * settings.crossingMillis
    }

    private class Step(val millis: Double, val part: PathPart?, val before: Step?) {
        fun parts(): List<PathPart> = generateSequence(this) { it.before }.mapNotNull { it.part }.toList().asReversed()
    }
}

private fun EnginePath.usesEachEngineOnce(): Boolean = parts.distinctBy { it.engine.id }.size == parts.size

/**
 * Weights of the path search.
 *
 * A token waits for the pass under way before its own, hence [passesPerToken]. [hopMillis] and [crossingMillis] are
 * paid for each token and hop, within a place and between places. The pipe between places carries less than one
 * crossing a token at the usual load, so a transfer over it counts [crossingWeight] times. A path that lies in another
 * place altogether costs [remoteMillis] a token: it takes room from the streams of that place. An engine takes no
 * stream that brings the expected use of its KV cache over [fullShare]; more than 1, since streams end before they have
 * filled what they may. [crowdingWeight] makes a nearly full engine less attractive.
 */
data class PathSettings(
    val passesPerToken: Double = 1.5,
    val hopMillis: Double = 0.2,
    val crossingMillis: Double = 40.0,
    val crossingWeight: Double = 8.0,
    val remoteMillis: Double = 10.0,
    val fullShare: Double = 1.1,
    val crowdingWeight: Double = 2.0,
)
