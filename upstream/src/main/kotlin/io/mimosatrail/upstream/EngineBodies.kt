package io.mimosatrail.upstream

import kotlinx.serialization.Serializable
import java.util.Base64

@Serializable
internal class RunItemBody(
    val sequence: String,
    val position: Int,
    val count: Int,
    val tokens: List<Int>? = null,
    val activations: String? = null,
    val priority: Int = 10,
)

@Serializable
internal class RunRequestBody(val items: List<RunItemBody>)

@Serializable
internal class RunResultBody(
    val sequence: String,
    val activations: String? = null,
    val token: Int? = null,
    val error: String? = null,
    val held: Int? = null,
)

@Serializable
internal class RunResponseBody(val results: List<RunResultBody>)

@Serializable
internal class KvBody(val positions: Int, val state: String)

internal fun RunItem.toBody() = RunItemBody(sequence, position, count, tokens, activations?.toBase64(), priority)

internal fun RunResultBody.toResult() =
    RunResult(sequence, activations?.fromBase64(), token, error?.let { RunError(it, held) })

internal fun ByteArray.toBase64(): String = Base64.getEncoder().encodeToString(this)

internal fun String.fromBase64(): ByteArray = Base64.getDecoder().decode(this)
