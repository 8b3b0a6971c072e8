package io.mimosatrail.core.path

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.placement.EngineProfile

/** Expected times, in milliseconds, of the segments of a path and the hops between them for one stream of [demand]. */
internal class PathCosts(
    private val profile: EngineProfile,
    private val settings: PathSettings,
    private val demand: PathDemand,
    private val mayCross: (PlaceId, PlaceId) -> Boolean,
) {
    private val prefillMillis = demand.promptTokens * 1_000 / profile.promptTokensPerSecond
    private val passes = demand.outputTokens * settings.passesPerToken
    private val stepMillis = profile.step.inWholeMicroseconds / 1e3
    private val sequenceMillis = profile.stepPerSequence.inWholeNanoseconds / 1e6
    private val contextMillis = profile.stepPerThousandTokens.inWholeNanoseconds / 1e6
    private val hopMillis = demand.outputTokens * settings.hopMillisPerToken

    /** Time of the whole stream if [engine] ran all layers, without the penalty for a nearly full KV cache. */
    fun allLayersMillis(engine: PathEngine): Double {
        val contexts = engine.tokenLayers / engine.layers.size / 1_000 * contextMillis
        val step = stepMillis + (engine.sequences + 1) * sequenceMillis + contexts
        val decodeMillis = passes * step * engine.accelerator.stepFactor
        return (prefillMillis * engine.accelerator.promptFactor + decodeMillis) * engine.slowness
    }

    /**
     * Time of the whole stream on [layers] layers of [engine], given the [allLayersMillis] of that engine. Infinite if
     * the stream does not fit into its KV cache.
     */
    fun segmentMillis(engine: PathEngine, layers: Int, allLayersMillis: Double): Double {
        val utilization = (engine.tokenLayers + demand.tokens.toDouble() * layers) / engine.tokenLayerCapacity
        if (utilization > settings.maxUtilization) return Double.POSITIVE_INFINITY
        return allLayersMillis * layers / profile.layers *
            (1 + settings.utilizationPenalty * utilization * utilization) + hopMillis
    }

    /** Time to reach the first engine of a path, in place [to], from the entry in place [from]. */
    fun entryMillis(from: PlaceId, to: PlaceId): Double =
        if (from == to) 0.0 else demand.outputTokens * settings.remoteMillisPerToken

    /** Time for a hop between two engines of a path; infinite if the link between their places has no capacity left. */
    fun crossingMillis(from: PlaceId, to: PlaceId): Double = when {
        from == to -> 0.0
        !mayCross(from, to) -> Double.POSITIVE_INFINITY
        else -> {
            val transfer = profile.activationBytes.toDouble() * demand.tokens / profile.crossPlaceBytesPerSecond * 1_000
            transfer * settings.transferWeight + demand.outputTokens * settings.crossingMillisPerToken
        }
    }
}
