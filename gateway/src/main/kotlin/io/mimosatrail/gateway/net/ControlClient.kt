package io.mimosatrail.gateway.net

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.HttpResult
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.send.SendEnd
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * An HTTP call to the store, or to the control interface of [upstream], which is null for the store. [isAnswer] is
 * false for headers, by their lower-case names, that show that an answer belongs to another request.
 */
class ControlCall(
    val address: PeerAddress,
    val method: String,
    val path: String,
    val body: ByteArray? = null,
    val upstream: InstanceId? = null,
    val headers: Map<String, String> = emptyMap(),
    val isAnswer: (headers: Map<String, String>) -> Boolean = { true },
)

/** Sends control calls over pooled connections. Runs on [loop]. */
class ControlClient internal constructor(private val pool: ConnectionPool, private val loop: EventLoop) {
    private val semaphores = HashMap<PeerAddress, Semaphore>()

    /** Bytes of the answers to open calls. */
    private var collectedBytes = 0L

    /** Sends [call] and waits up to [timeout] for the complete answer. */
    suspend fun send(call: ControlCall, timeout: Duration): HttpResult {
        check(loop.inEventLoop()) { "control calls run on the event loop" }
        val exchange = Exchange(call)
        return try {
            withTimeoutOrNull(timeout) { semaphore(call).withPermit { exchange.run() } } ?: exchange.onTimeout(timeout)
        } finally {
            collectedBytes -= exchange.size
        }
    }

    private fun semaphore(call: ControlCall): Semaphore =
        semaphores.getOrPut(call.address) { Semaphore(MAX_CONCURRENT_CALLS) }

    private inner class Exchange(private val call: ControlCall) : AnswerListener {
        private var connection: UpstreamConnection? = null
        private var pending: CancellableContinuation<HttpResult>? = null
        private var status = 0
        private var headers = emptyMap<String, String>()
        private val body = ByteArrayOutputStream()
        private val maxBytes = if (call.upstream == null) MAX_STORE_BODY_BYTES else MAX_UPSTREAM_BODY_BYTES

        /** Bytes of the answer so far. */
        val size: Int get() = body.size()

        suspend fun run(): HttpResult = suspendCancellableCoroutine { continuation ->
            pending = continuation
            continuation.invokeOnCancellation { connection?.abort() }
            pool.lease(ConnectionKey(call.address, call.upstream), Int.MAX_VALUE) { lease ->
                when (lease) {
                    is Lease.Failed -> end(HttpResult.NotSent(lease.detail))
                    is Lease.Ready -> if (continuation.isActive) sendOn(lease.connection) else lease.connection.abort()
                }
            }
        }

        fun onTimeout(timeout: Duration): HttpResult {
            val open = connection ?: return HttpResult.NotSent("no connection within $timeout")
            open.abort()
            return HttpResult.Lost("no answer within $timeout")
        }

        override fun onHead(head: HttpResponse) {
            status = head.status().code()
            headers = head.headers().associate { (name, value) -> name.lowercase() to value }
            if (!call.isAnswer(headers)) giveUp("the answer belongs to another request")
        }

        override fun onBody(part: ByteBuf) {
            val length = part.readableBytes()
            if (size + length > maxBytes) return giveUp("the answer is longer than $maxBytes bytes")
            if (collectedBytes + length > MAX_COLLECTED_BYTES) return giveUp("open calls hold $collectedBytes bytes")
            collectedBytes += length
            part.readBytes(body, length)
        }

        override fun onEnd() = end(HttpResult.Answered(status, body.toByteArray(), headers = headers))

        override fun onFailed(end: SendEnd, detail: String) =
            end(if (end == SendEnd.NOT_SENT) HttpResult.NotSent(detail) else HttpResult.Lost(detail))

        private fun sendOn(leased: UpstreamConnection) {
            connection = leased
            leased.send(call.toRequest(), this)
        }

        private fun giveUp(detail: String) {
            connection?.abort()
            end(HttpResult.Lost(detail))
        }

        private fun end(answer: HttpResult) {
            pending?.takeIf { it.isActive }?.resume(answer)
            pending = null
        }
    }

    private companion object {
        /** Calls to one address that may run at the same time; further calls wait. */
        const val MAX_CONCURRENT_CALLS = 8

        /** The store's longest answers hold a page of up to a megabyte, encoded as text. */
        const val MAX_STORE_BODY_BYTES = 4 * 1024 * 1024

        /** A report of an engine takes a few kilobytes. */
        const val MAX_UPSTREAM_BODY_BYTES = 256 * 1024

        /** Limit on the answers to all open calls together. */
        const val MAX_COLLECTED_BYTES = 12L * 1024 * 1024
    }
}

private fun ControlCall.toRequest(): DefaultFullHttpRequest {
    val content = body?.let { Unpooled.wrappedBuffer(it) } ?: Unpooled.EMPTY_BUFFER
    val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content)
    request.headers()[HttpHeaderNames.HOST] = address.toString()
    headers.forEach { (name, value) -> request.headers()[name] = value }
    if (body != null) {
        request.headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
        request.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.size
    }
    return request
}
