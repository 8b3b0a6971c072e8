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

/** A call to the store or to the control interface of an upstream. [upstream] is null for the store. */
class ControlCall(
    val address: PeerAddress,
    val method: String,
    val path: String,
    val body: ByteArray? = null,
    val upstream: InstanceId? = null,
    val headers: Map<String, String> = emptyMap(),
)

/** Sends control calls over kept connections. Runs on [loop]. */
class ControlCalls internal constructor(private val pool: ConnectionPool, private val loop: EventLoop) {
    private val limits = HashMap<PeerAddress, Semaphore>()

    /** Sends [call] and waits up to [timeout] for the whole answer. */
    suspend fun send(call: ControlCall, timeout: Duration): HttpResult {
        check(loop.inEventLoop()) { "control calls run on the event loop" }
        val exchange = Exchange(call)
        return withTimeoutOrNull(timeout) { limit(call).withPermit { exchange.run() } } ?: exchange.onTimeout(timeout)
    }

    private fun limit(call: ControlCall): Semaphore = limits.getOrPut(call.address) { Semaphore(MOST_CONNECTIONS) }

    private inner class Exchange(private val call: ControlCall) : AnswerListener {
        private var connection: UpstreamConnection? = null
        private var waiting: CancellableContinuation<HttpResult>? = null
        private var status = 0
        private val body = ByteArrayOutputStream()

        suspend fun run(): HttpResult = suspendCancellableCoroutine { continuation ->
            waiting = continuation
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
        }

        override fun onBody(part: ByteBuf) {
            part.readBytes(body, part.readableBytes())
        }

        override fun onEnd() = end(HttpResult.Answered(status, body.toByteArray()))

        override fun onFailed(end: SendEnd, detail: String) =
            end(if (end == SendEnd.NOT_SENT) HttpResult.NotSent(detail) else HttpResult.Lost(detail))

        private fun sendOn(ready: UpstreamConnection) {
            connection = ready
            ready.send(call.toRequest(), this)
        }

        private fun end(answer: HttpResult) {
            waiting?.takeIf { it.isActive }?.resume(answer)
            waiting = null
        }
    }

    private companion object {
        /** Control calls of one entry to one peer that run at the same time; more wait. */
        const val MOST_CONNECTIONS = 8
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
