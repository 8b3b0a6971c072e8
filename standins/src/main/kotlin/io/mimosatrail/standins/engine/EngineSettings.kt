package io.mimosatrail.standins.engine

/**
 * Settings of an [EngineStandin] that serves the layers [firstLayer] to before [endLayer] of a model with [modelLayers]
 * layers.
 *
 * With [checksFencing] false the engine ignores fencing numbers. A load of weights takes [loadMillis], plus the time of
 * the download from the weight store at [weightsUrl] unless that is null. Cache events become visible after
 * [eventLagMillis], and the events whose numbers are multiples of [lostEventInterval] are lost.
 */
data class EngineSettings(
    val model: String = "inspection",
    val version: String = "1",
    val firstLayer: Int = 0,
    val endLayer: Int = 8,
    val modelLayers: Int = 8,
    val acceleratorKind: String = "gpu-m",
    val timing: EngineTiming = EngineTiming.of(acceleratorKind),
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
    val lostEventInterval: Int = 20,
)
