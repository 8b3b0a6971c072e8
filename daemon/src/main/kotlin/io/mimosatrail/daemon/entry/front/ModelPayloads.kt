package io.mimosatrail.daemon.entry.front

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Body of `POST /v1/completions`; [prompt] is a string or an array of token ids. */
@Serializable
internal data class CompletionPayload(
    val model: String,
    val prompt: JsonElement,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val stream: Boolean = false,
    val n: Int = 1,
)

/** Body of `POST /v1/chat/completions`. */
@Serializable
internal data class ChatPayload(
    val model: String,
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val stream: Boolean = false,
    val n: Int = 1,
)

@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** Response with a complete completion, or with one chunk of a stream. */
@Serializable
internal data class CompletionResponse(
    val id: String,
    @SerialName("object") val objectType: String,
    val model: String,
    val choices: List<CompletionChoice>,
    val usage: Usage? = null,
)

/** Generated text of a completion or chunk. [finishReason] is null if more chunks follow. */
@Serializable
internal data class CompletionChoice(
    val index: Int = 0,
    val text: String? = null,
    val message: ChatMessage? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** New text in a chunk of a chat stream. */
@Serializable
internal data class ChatDelta(val content: String? = null)

/** Token counts of a request. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int = promptTokens + completionTokens,
)

/** Body of `GET /v1/models`. */
@Serializable
internal data class ModelList(val data: List<ModelEntry>, @SerialName("object") val objectType: String = "list")

@Serializable
internal data class ModelEntry(val id: String, @SerialName("object") val objectType: String = "model")
