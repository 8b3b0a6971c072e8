package io.mimosatrail.daemon.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.http.httpJson
import io.mimosatrail.daemon.http.notRun
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull

private const val MAX_TOKEN_ID = 1_000_000

/** Parsed body of a model request, before routing and limits. [prompt] holds token ids. */
internal data class ModelQuery(
    val model: ModelId,
    val prompt: List<Int>,
    val maxTokens: Int,
    val stream: Boolean,
    val kind: CompletionKind,
)

/** The completion interface that the caller used; it determines the format of the response. */
internal enum class CompletionKind { COMPLETION, CHAT }

/** Parses the body of `/v1/completions`. */
internal fun parseCompletion(body: ByteArray, tokenizer: Tokenizer): Result<ModelQuery, Refusal> =
    decode(CompletionPayload.serializer(), body).flatMap { payload ->
        val prompt = payload.prompt.toTokens(tokenizer)
        validated(payload.model, prompt, payload.maxTokens, payload.n, payload.stream, CompletionKind.COMPLETION)
    }

/** Parses the body of `/v1/chat/completions`. */
internal fun parseChat(body: ByteArray, tokenizer: Tokenizer): Result<ModelQuery, Refusal> =
    decode(ChatPayload.serializer(), body).flatMap { payload ->
        val text = payload.messages.joinToString("\n") { "${it.role}: ${it.content}" } + "\nassistant:"
        val prompt = tokenizer.encode(text).takeIf { payload.messages.isNotEmpty() }
        validated(payload.model, prompt, payload.maxTokens, payload.n, payload.stream, CompletionKind.CHAT)
    }

private fun validated(
    model: String,
    prompt: List<Int>?,
    maxTokens: Int,
    completions: Int,
    stream: Boolean,
    kind: CompletionKind,
): Result<ModelQuery, Refusal> = when {
    prompt.isNullOrEmpty() -> Err(malformed("the prompt must be a text or token ids, and not empty"))
    maxTokens < 1 -> Err(malformed("max_tokens is $maxTokens: allowed is 1 or more"))
    completions != 1 -> Err(malformed("n is $completions: allowed is 1"))
    else -> Ok(ModelQuery(ModelId(model), prompt, maxTokens, stream, kind))
}

/** The token ids of a prompt; null if it is neither a string nor an array of valid ids. */
private fun JsonElement.toTokens(tokenizer: Tokenizer): List<Int>? = when (this) {
    is JsonPrimitive -> if (isString) tokenizer.encode(content) else null
    is JsonArray -> map { (it as? JsonPrimitive)?.intOrNull?.takeIf { id -> id in 0..MAX_TOKEN_ID } ?: return null }
    else -> null
}

private fun <T> decode(strategy: DeserializationStrategy<T>, body: ByteArray): Result<T, Refusal> = try {
    Ok(httpJson.decodeFromString(strategy, body.decodeToString()))
} catch (e: SerializationException) {
    Err(malformed("the body is not a valid request: ${e.message?.lineSequence()?.first()}"))
}

private fun malformed(detail: String) = notRun(RefusalReason.MALFORMED, Step.PARSE, detail)
