package io.mimosatrail.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.suspendCancellableCoroutine
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import org.eclipse.jetty.client.Result as Exchange

/**
 * Calls a plain service at [baseUrl] over HTTP. A call is sent at most once: redirects, authentication rounds and
 * retries of the HTTP client are off. Each status of the service is an answer.
 */
class HttpPlainClient(private val baseUrl: String, private val maxBodyBytes: Int = 8 * 1024 * 1024) :
    PlainClient,
    AutoCloseable {
    private val client = HttpClient().apply {
        isFollowRedirects = false
        maxConnectionsPerDestination = MAX_CONNECTIONS
        userAgentField = null
        start()
        protocolHandlers.clear()
        contentDecoderFactories.clear()
    }

    override suspend fun call(request: PlainRequest): Result<PlainResponse, UpstreamError> =
        suspendCancellableCoroutine { continuation ->
            val watch = SendWatch()
            val exchange = exchangeOf(request, watch)
            continuation.invokeOnCancellation { exchange.abort(it ?: InterruptedException("the call was cancelled")) }
            exchange.send(object : BufferingResponseListener(maxBodyBytes) {
                override fun onComplete(result: Exchange) {
                    val answer = if (result.isSucceeded) Ok(response(result, content)) else Err(watch.error(result))
                    if (continuation.isActive) continuation.resume(answer)
                }
            })
        }

    override fun close() = client.stop()

    private fun exchangeOf(request: PlainRequest, watch: SendWatch): Request {
        val exchange = client.newRequest(baseUrl.trimEnd('/') + request.path)
            .method(request.method)
            .timeout(request.timeoutMillis.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            .onRequestBegin { watch.begun = true }
        exchange.headers { fields -> request.headers.filter(::isPassedOn).forEach { fields.add(it.name, it.value) } }
        if (request.body.isNotEmpty()) exchange.body(BytesRequestContent(contentType(request), request.body))
        return exchange
    }

    private fun contentType(request: PlainRequest): String =
        request.headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value ?: DEFAULT_CONTENT_TYPE

    private fun response(result: Exchange, content: ByteArray?): PlainResponse {
        val headers = result.response.headers.map { HttpHeader(it.name, it.value.orEmpty()) }
        return PlainResponse(result.response.status, headers.filter(::isPassedOn), content ?: ByteArray(0))
    }

    private fun isPassedOn(header: HttpHeader): Boolean = header.name.lowercase() !in HOP_HEADERS

    /** Tells a call that never reached a connection from one that may have been sent. */
    private class SendWatch {
        @Volatile
        var begun = false

        fun error(result: Exchange): UpstreamError {
            val failure = result.failure
            val detail = failure?.message ?: failure?.javaClass?.simpleName ?: "the call failed"
            return if (begun) UpstreamError.Uncertain(detail) else UpstreamError.NotRun(detail)
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 256
        const val CONTENT_TYPE = "content-type"
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
        val HOP_HEADERS = setOf(
            "connection",
            "content-length",
            "host",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
    }
}
