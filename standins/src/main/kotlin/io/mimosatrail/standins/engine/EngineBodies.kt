package io.mimosatrail.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Layers from [first] to before [end]. */
@Serializable
internal data class LayersBody(val first: Int, val end: Int) {
    val size: Int get() = end - first
}

/** State of an engine. [fencing] is the highest number accepted, or 0 if the engine ignores fencing numbers. */
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

/**
 * Run of [count] positions of a sequence from [position] on. The first stage of a model takes [tokens], later ones take
 * [activations]; the other is null. A lower [priority] runs first.
 */
@Serializable
internal data class ItemBody(
    val sequence: String,
    val position: Int,
    val count: Int,
    val tokens: List<Int>? = null,
    val activations: String? = null,
    val priority: Int = 10,
)

/**
 * Result of one item. The last stage sets [token], earlier ones set [activations], and a failed item sets [error].
 * [cachedPositions] is set for a position mismatch only: the positions that the engine has of the sequence.
 */
@Serializable
internal data class ResultBody(
    val sequence: String,
    val activations: String? = null,
    val token: Int? = null,
    val error: String? = null,
    @SerialName("held")
    val cachedPositions: Int? = null,
)

@Serializable
internal data class ResultsBody(val results: List<ResultBody>)

/** KV cache of a sequence: the base64 [state] of each layer after [positions] positions. */
@Serializable
internal data class KvBody(val positions: Int, val state: String)

/** Order to serve other layers, weights, adapters or another role. */
@Serializable
internal data class OrderBody(
    val fencing: Long,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val layers: LayersBody,
    val role: String = "serve",
)

/** Change of the prefix cache. [kind] is `stored` or `evicted`. */
@Serializable
internal data class CacheEventBody(val number: Long, val kind: String, val prefix: String)

/** Cache events after the requested number. [last] is the highest number visible, 0 if there is none. */
@Serializable
internal data class CacheEventsBody(val events: List<CacheEventBody>, val last: Long)
