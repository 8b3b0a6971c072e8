package io.mimosatrail.standins.engine

/**
 * Settings of an [EngineStandin] that holds layers [firstLayer] until [endLayer] of a model of [modelLayers] layers.
 *
 * With [checksFencing] false it ignores fencing numbers. A load takes [loadMillis] and, with [weightsUrl], what the
 * weight store demands. Cache events show after [eventLagMillis], and each [eventGap]th is lost.
 */
data class EngineSettings(
    val model: String = "inspection",
    val version: String = "1",
    val firstLayer: Int = 0,
    val endLayer: Int = 8,
    val modelLayers: Int = 8,
    val kind: String = "gpu-m",
    val timing: EngineTiming = EngineTiming.of(kind),
    val adapters: List<String> = emptyList(),
    val role: String = "serve",
    val kvBytesPerToken: Int = 1_024,
    val kvCapacityBytes: Long = 64L * 1024 * 1024,
    val maxBatch: Int = 64,
    val checksFencing: Boolean = true,
    val loadMillis: Long = 200,
    val weightsUrl: String? = null,
    val cacheBlocks: Int = 4_096,
    val eventLagMillis: Long = 500,
    val eventGap: Int = 20,
)
