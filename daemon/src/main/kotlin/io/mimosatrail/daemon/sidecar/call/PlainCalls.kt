package io.mimosatrail.daemon.sidecar.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.mimosatrail.core.calls.AnswerHeader
import io.mimosatrail.core.calls.UpstreamAnswer
import io.mimosatrail.protocol.CallAnswer
import io.mimosatrail.protocol.CallHeader
import io.mimosatrail.protocol.PlainCall
import io.mimosatrail.upstream.HttpHeader
import io.mimosatrail.upstream.PlainClient
import io.mimosatrail.upstream.PlainRequest
import io.mimosatrail.upstream.PlainResponse
import io.mimosatrail.upstream.UpstreamError
import kotlinx.coroutines.CancellationException

private const val KEY_HEADER = "Idempotency-Key"

/** Sends [call] to the service once. Returns [UpstreamError.Uncertain] if the client throws. */
internal suspend fun PlainClient.send(call: PlainCall, timeoutMillis: Long): Result<UpstreamAnswer, UpstreamError> =
    try {
        call(call.toRequest(timeoutMillis)).map { it.toUpstreamAnswer() }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        Err(UpstreamError.Uncertain(e.message ?: e.javaClass.simpleName))
    }

private fun PlainCall.toRequest(timeoutMillis: Long): PlainRequest {
    val callHeaders = headers.map { HttpHeader(it.name, it.value) }
    val hasKeyHeader = callHeaders.any { it.name.equals(KEY_HEADER, ignoreCase = true) }
    val keyHeader = key?.takeUnless { hasKeyHeader }?.let { listOf(HttpHeader(KEY_HEADER, it.value)) }.orEmpty()
    return PlainRequest(method, path, callHeaders + keyHeader, body, timeoutMillis)
}

private fun PlainResponse.toUpstreamAnswer() =
    UpstreamAnswer(status, headers.map { AnswerHeader(it.name, it.value) }, body)

/** Converts this answer to a message for an entry. */
internal fun UpstreamAnswer.toMessage(replayed: Boolean): CallAnswer =
    CallAnswer(status, headers.map { CallHeader(it.name, it.value) }, body, replayed)
