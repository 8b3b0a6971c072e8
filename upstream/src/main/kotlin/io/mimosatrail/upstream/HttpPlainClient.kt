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
import org.eclipse.jetty.client.Result as JettyResult

/**
 * Calls the plain service at [baseUrl] over HTTP. A call is sent at most once: redirects, authentication and retries of
 * the HTTP client are disabled. A response with any status counts as success.
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
            val tracker = SendTracker()
            val jettyRequest = jettyRequestOf(request, tracker)
            continuation.invokeOnCancellation {
                jettyRequest.abort(it ?: InterruptedException("the call was cancelled"))
            }
            jettyRequest.send(object : BufferingResponseListener(maxBodyBytes) {
                override fun onComplete(result: JettyResult) {
                    val answer = when {
                        !result.isSucceeded -> Err(tracker.error(result))
                        result.response.status !in VALID_STATUSES ->
                            Err(UpstreamError.Uncertain("the response has the status ${result.response.status}"))
                        else -> Ok(response(result, content))
                    }
                    if (continuation.isActive) continuation.resume(answer)
                }
            })
        }

    override fun close() = client.stop()

    private fun jettyRequestOf(request: PlainRequest, tracker: SendTracker): Request {
        val jettyRequest = client.newRequest(baseUrl.trimEnd('/') + request.path)
            .method(request.method)
            .timeout(request.timeoutMillis.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            .onRequestBegin { tracker.hasBegun = true }
        jettyRequest.headers { fields ->
            request.headers.filter(::isForwarded).forEach { fields.add(it.name, it.value) }
        }
        if (request.body.isNotEmpty()) jettyRequest.body(BytesRequestContent(contentType(request), request.body))
        return jettyRequest
    }

    private fun contentType(request: PlainRequest): String =
        request.headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value ?: DEFAULT_CONTENT_TYPE

    private fun response(result: JettyResult, content: ByteArray?): PlainResponse {
        val headers = result.response.headers.map { HttpHeader(it.name, it.value.orEmpty()) }
        return PlainResponse(result.response.status, headers.filter(::isForwarded), content ?: ByteArray(0))
    }

    private fun isForwarded(header: HttpHeader): Boolean = header.name.lowercase() !in CONNECTION_HEADERS

    /** Distinguishes a call that was certainly not sent from one that may have been sent, at least in part. */
    private class SendTracker {
        @Volatile
        var hasBegun = false

        fun error(result: JettyResult): UpstreamError {
            val failure = result.failure
            val detail = failure?.message ?: failure?.javaClass?.simpleName ?: "the call failed"
            return if (hasBegun) UpstreamError.Uncertain(detail) else UpstreamError.NotRun(detail)
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 256
        const val CONTENT_TYPE = "content-type"
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"

        /** Jetty passes on higher ones, too. */
        val VALID_STATUSES = 100..599

        /** Headers that describe one connection or the framing of the body on it; they are not forwarded. */
        val CONNECTION_HEADERS = setOf(
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
