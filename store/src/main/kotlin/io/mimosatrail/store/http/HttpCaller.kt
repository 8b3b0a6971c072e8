package io.mimosatrail.store.http

import io.mimosatrail.core.net.HttpResult
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.net.URI
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val CLIENT_THREADS = 12
private const val MAX_RESPONSE_BYTES = 64 * 1024 * 1024
private val CONNECT_TIMEOUT = 2.seconds

/**
 * Sends HTTP requests with Jetty's client.
 *
 * Jetty is used directly because http4k's adapter reports a refused connection and a lost response with the same
 * status, and callers must distinguish them: only a request that was not sent certainly had no effect.
 */
internal class HttpCaller(private val baseUrl: String) : AutoCloseable {
    private val client = HttpClient().apply {
        executor = QueuedThreadPool(CLIENT_THREADS).apply {
            name = "platform-client"
            isDaemon = true
        }
        connectTimeout = CONNECT_TIMEOUT.inWholeMilliseconds
        isFollowRedirects = false
        userAgentField = null
    }

    init {
        client.start()
    }

    /**
     * Sends a request for [path] below the base URL and waits up to [timeout] for the whole response. [ifNoneMatch] is
     * an entity tag: the status is 304 if the resource still has it.
     */
    suspend fun call(
        method: String,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        ifNoneMatch: String? = null,
    ): HttpResult = suspendCancellableCoroutine { continuation ->
        val sendStarted = AtomicBoolean()
        val request = client.newRequest(URI.create(baseUrl.trimEnd('/') + path))
            .method(method)
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .onRequestBegin { sendStarted.set(true) }
        if (ifNoneMatch != null) request.headers { it.put(HttpHeader.IF_NONE_MATCH, ifNoneMatch) }
        if (body != null) request.body(BytesRequestContent("application/json", body))
        continuation.invokeOnCancellation { request.abort(java.util.concurrent.CancellationException()) }
        request.sendTo(continuation, sendStarted)
    }

    override fun close() {
        client.stop()
    }

    private fun Request.sendTo(continuation: CancellableContinuation<HttpResult>, sendStarted: AtomicBoolean) {
        send(object : BufferingResponseListener(MAX_RESPONSE_BYTES) {
            override fun onComplete(result: Result) {
                val httpResult = when {
                    result.isSucceeded -> httpResultOf(result.response, content ?: ByteArray(0))
                    sendStarted.get() -> HttpResult.Lost(result.failure.describe())
                    else -> HttpResult.NotSent(result.failure.describe())
                }
                continuation.resume(httpResult)
            }
        })
    }
}

private fun httpResultOf(response: Response, body: ByteArray) =
    HttpResult.Answered(response.status, body, response.headers[HttpHeader.ETAG])

private fun Throwable.describe() = "${javaClass.simpleName}: $message"
