package io.mimosatrail.core.placement

import io.mimosatrail.core.id.AcceleratorKind
import kotlin.time.Duration

/**
 * How the engines of a service work, from the operators' configuration.
 *
 * The model has [layers] layers of [layerMegabytes] each; a token takes [kvMegabytesPerLayer] on each layer that it has
 * passed. A pass takes [step], and [stepPerSequence] more for each sequence that is writing; a prompt is read at
 * [promptTokensPerSecond]. These times are for all layers on an accelerator of pace 1. [activationBytes] cross a link
 * for each token. [fullLoad] is the time to load all layers.
 */
data class EngineProfile(
    val layers: Int,
    val layerMegabytes: Double,
    val kvMegabytesPerLayer: Double,
    val step: Duration,
    val stepPerSequence: Duration,
    val stepPerThousandTokens: Duration,
    val promptTokensPerSecond: Double,
    val slots: Int,
    val activationBytes: Long,
    val crossPlaceBytesPerSecond: Double,
    val usualPromptTokens: Int,
    val usualOutputTokens: Int,
    val fullLoad: Duration,
    val kinds: Map<AcceleratorKind, AcceleratorProfile>,
) {
    /** Tokens for which an accelerator of [kind] has room beside [held] layers; 0 where they do not fit. */
    fun tokenRoom(kind: AcceleratorProfile, held: Int): Int {
        if (held <= 0) return 0
        val free = kind.memoryMegabytes - held * layerMegabytes
        return (free / (held * kvMegabytesPerLayer)).toInt().coerceAtLeast(0)
    }

    /** Most layers that an accelerator of [kind] can hold with room for [tokens] tokens on each of them. */
    fun layersWithRoom(kind: AcceleratorProfile, tokens: Int): Int =
        (kind.memoryMegabytes / (layerMegabytes + tokens * kvMegabytesPerLayer)).toInt().coerceIn(0, layers)
}

/**
 * Speed and memory of a kind of accelerator. Steps take [stepFactor] times and prompts [promptFactor] times as long as
 * the profile says.
 */
data class AcceleratorProfile(val memoryMegabytes: Double, val stepFactor: Double, val promptFactor: Double)
