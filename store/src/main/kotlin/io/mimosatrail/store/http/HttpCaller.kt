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
private const val MAX_ANSWER_BYTES = 64 * 1024 * 1024
private val CONNECT_TIMEOUT = 2.seconds

/**
 * Sends HTTP calls with Jetty's client.
 *
 * Jetty is used directly here because the http4k adapter reports a refused connection and a lost answer with one
 * status, and callers must tell them apart.
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
     * Calls [path] below the base URL and waits up to [timeout] for the whole answer; with [ifNoneMatch] the answer is
     * 304 where that is still the entity tag.
     */
    suspend fun call(
        method: String,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        ifNoneMatch: String? = null,
    ): HttpResult = suspendCancellableCoroutine { continuation ->
        val begun = AtomicBoolean()
        val request = client.newRequest(URI.create(baseUrl.trimEnd('/') + path))
            .method(method)
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .onRequestBegin { begun.set(true) }
        if (ifNoneMatch != null) request.headers { it.put(HttpHeader.IF_NONE_MATCH, ifNoneMatch) }
        if (body != null) request.body(BytesRequestContent("application/json", body))
        continuation.invokeOnCancellation { request.abort(java.util.concurrent.CancellationException()) }
        request.sendTo(continuation, begun)
    }

    override fun close() {
        client.stop()
    }

    private fun Request.sendTo(continuation: CancellableContinuation<HttpResult>, begun: AtomicBoolean) {
        send(object : BufferingResponseListener(MAX_ANSWER_BYTES) {
            override fun onComplete(result: Result) {
                val answer = when {
                    result.isSucceeded -> answered(result.response, content ?: ByteArray(0))
                    begun.get() -> HttpResult.Lost(result.failure.describe())
                    else -> HttpResult.NotSent(result.failure.describe())
                }
                continuation.resume(answer)
            }
        })
    }
}

private fun answered(response: Response, body: ByteArray) =
    HttpResult.Answered(response.status, body, response.headers[HttpHeader.ETAG])

private fun Throwable.describe() = "${javaClass.simpleName}: $message"
