package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.placement.EngineProfile

/** Expected times of the parts and crossings of a path for one stream of [demand]. */
internal class PathCosts(
    private val profile: EngineProfile,
    private val settings: PathSettings,
    private val demand: PathDemand,
    private val mayCross: (PlaceId, PlaceId) -> Boolean,
) {
    private val readMillis = demand.promptTokens * 1_000 / profile.promptTokensPerSecond
    private val passes = demand.outputTokens * settings.passesPerToken
    private val stepMillis = profile.step.inWholeMicroseconds / 1e3
    private val sequenceMillis = profile.stepPerSequence.inWholeNanoseconds / 1e6
    private val contextMillis = profile.stepPerThousandTokens.inWholeNanoseconds / 1e6
    private val hopMillis = demand.outputTokens * settings.hopMillis

    /** Time of the whole stream on [engine] if that runs all layers, without crowding. */
    fun allLayersMillis(engine: PathEngine): Double {
        val contexts = engine.tokenLayers / engine.layers.size / 1_000 * contextMillis
        val step = stepMillis + (engine.sequences + 1) * sequenceMillis + contexts
        val write = passes * step * engine.accelerator.stepFactor
        return (readMillis * engine.accelerator.promptFactor + write) * engine.slowness
    }

    /**
     * Time of the whole stream on [layers] layers of [engine], where all layers take [allLayersMillis]; infinite where
     * its KV cache has no room.
     */
    fun partMillis(engine: PathEngine, layers: Int, allLayersMillis: Double): Double {
        val used = (engine.tokenLayers + demand.tokens.toDouble() * layers) / engine.room
        if (used > settings.fullShare) return Double.POSITIVE_INFINITY
        return allLayersMillis * layers / profile.layers * (1 + settings.crowdingWeight * used * used) + hopMillis
    }

    /** Time for entering the first engine of a path in [to], for a stream that is asked for in [from]. */
    fun entryMillis(from: PlaceId, to: PlaceId): Double =
        if (from == to) 0.0 else demand.outputTokens * settings.remoteMillis

    /** Time for crossing from place to place within a path; infinite where the pipe between them bears no more. */
    fun crossingMillis(from: PlaceId, to: PlaceId): Double = when {
        from == to -> 0.0
        !mayCross(from, to) -> Double.POSITIVE_INFINITY
        else -> {
            val transfer = profile.activationBytes.toDouble() * demand.tokens / profile.crossPlaceBytesPerSecond * 1_000
            transfer * settings.crossingWeight + demand.outputTokens * settings.crossingMillis
        }
    }
}
