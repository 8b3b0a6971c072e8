package io.mimosatrail.standins.engine

import kotlinx.serialization.Serializable

@Serializable
internal data class LayersBody(val first: Int, val end: Int) {
    val size: Int get() = end - first
}

@Serializable
internal data class EngineBody(
    val model: String,
    val version: String,
    val layers: LayersBody,
    val modelLayers: Int,
    val kind: String,
    val adapters: List<String>,
    val role: String,
    val kvBytesPerToken: Int,
    val kvCapacityBytes: Long,
    val kvUsedBytes: Long,
    val running: Int,
    val waiting: Int,
    val fencing: Long,
    val loading: Boolean,
)

@Serializable
internal data class RunBody(val items: List<ItemBody>)

@Serializable
internal data class ItemBody(
    val sequence: String,
    val position: Int,
    val count: Int,
    val tokens: List<Int>? = null,
    val activations: String? = null,
    val priority: Int = 10,
)

@Serializable
internal data class ResultBody(
    val sequence: String,
    val activations: String? = null,
    val token: Int? = null,
    val error: String? = null,
    val held: Int? = null,
)

@Serializable
internal data class ResultsBody(val results: List<ResultBody>)

@Serializable
internal data class KvBody(val positions: Int, val state: String)

@Serializable
internal data class OrderBody(
    val fencing: Long,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val layers: LayersBody,
    val role: String = "serve",
)

@Serializable
internal data class CacheEventBody(val number: Long, val kind: String, val prefix: String)

@Serializable
internal data class CacheEventsBody(val events: List<CacheEventBody>, val last: Long)
