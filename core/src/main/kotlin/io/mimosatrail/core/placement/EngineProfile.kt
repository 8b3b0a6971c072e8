package io.mimosatrail.core.placement

import io.mimosatrail.core.id.AcceleratorKind
import kotlin.time.Duration

/**
 * Performance and memory needs of the engines of a service, from the operators' configuration. Durations and rates are
 * for all layers on an accelerator with factor 1, see [AcceleratorProfile].
 */
data class EngineProfile(
    /** Layers of the model. */
    val layers: Int,
    val layerMegabytes: Double,

    /** KV cache that one token takes on each layer that it has passed. */
    val kvMegabytesPerLayer: Double,

    /** Base duration of a decode pass, which yields one token for each sequence. */
    val step: Duration,

    /** Added to [step] for each sequence in the batch. */
    val stepPerSequence: Duration,

    /** Added to [step] for each thousand tokens of context in the batch. */
    val stepPerThousandTokens: Duration,
    val promptTokensPerSecond: Double,
    val slots: Int,

    /** Bytes sent over a link for each token. */
    val activationBytes: Long,
    val crossPlaceBytesPerSecond: Double,

    /** Assumed for requests that do not state the length of their prompt. */
    val usualPromptTokens: Int,

    /** Assumed for requests that do not limit their output. */
    val usualOutputTokens: Int,

    /** Time to load all layers. */
    val fullLoadTime: Duration,
    val kinds: Map<AcceleratorKind, AcceleratorProfile>,
) {
    /** Tokens for which [accelerator] has KV cache if it holds [layers] layers; 0 if the layers do not fit. */
    fun kvCapacityTokens(accelerator: AcceleratorProfile, layers: Int): Int {
        if (layers <= 0) return 0
        val free = accelerator.memoryMegabytes - layers * layerMegabytes
        return (free / (layers * kvMegabytesPerLayer)).toInt().coerceAtLeast(0)
    }

    /** The most layers that [accelerator] can hold with KV cache for [tokens] tokens. */
    fun maxLayers(accelerator: AcceleratorProfile, tokens: Int): Int =
        (accelerator.memoryMegabytes / (layerMegabytes + tokens * kvMegabytesPerLayer)).toInt().coerceIn(0, layers)
}

/**
 * Speed and memory of a kind of accelerator. Decode steps take [stepFactor] times and prompts [promptFactor] times as
 * long as the [EngineProfile] says.
 */
data class AcceleratorProfile(val memoryMegabytes: Double, val stepFactor: Double, val promptFactor: Double)
