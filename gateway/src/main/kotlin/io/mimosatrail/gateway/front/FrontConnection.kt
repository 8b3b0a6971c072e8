package io.mimosatrail.gateway.front

import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * One connection of a caller. Serves its requests one at a time, in order; pipelined requests wait.
 *
 * The connection is always read, so that its end is noticed while a request is being served.
 */
internal class FrontConnection(
    private val clock: Clock,
    private val limits: LimitsInForce,
    private val heads: RequestHeadTimer,
    private val decoderLimit: () -> Int,
    private val encoder: ResponseEncoder,
    private val isStopping: () -> Boolean,
    private val wasLate: () -> Boolean,
    private val serve: (Caller) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<Pair<FullHttpRequest, Moment>>()
    private var current: Exchange? = null

    /** True once the connection closes after the current response or at once; further requests are not served. */
    private var isClosing = false

    /** Responses that have ended but are still being sent. */
    private var unsentResponses = 0

    /** Number of requests that were read in full and whose response has not been sent in full. */
    val openRequests: Int get() = waiting.size + unsentResponses + if (current == null) 0 else 1

    /** When bytes were last read or written, as far as is known. */
    private var idleSince: Moment = clock()

    /** The timeout that was configured when the last response ended. */
    private var idleTimeout = limits.now.idleTimeout

    /** Bytes of responses that the caller has not received, at the last check. */
    private var unsentBytes = 0L

    /** True from the end of the last response until the connection is closed. */
    var isLingering = false
        private set

    /**
     * Closes the connection if it has been idle for too long. A longer timeout applies at once, a shorter one from the
     * next response on, since the caller may rely on the earlier one. Refuses a request whose head takes too long.
     */
    fun closeIfIdle() {
        noteWritten()
        // By the next turn of the event loop, requests that arrived while this turn was late have been read.
        if (isExpired() || isHeadOverdue()) {
            context.executor().schedule(::closeIfExpired, 1, TimeUnit.MILLISECONDS)
        }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (isClosing) return
        if (waiting.size >= MAX_WAITING) return close()
        waiting.addLast(request.retain() to clock())
        pauseReading()
        // If the event loop was late, the end of the connection may follow unread. It is read before the delay is over.
        if (wasLate()) context.executor().schedule(::serveNext, 1, TimeUnit.MILLISECONDS) else serveNext()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        idleSince = clock()
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        waiting.forEach { (request, _) -> request.release() }
        waiting.clear()
        current?.onClosed()
        super.channelInactive(context)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.caller?.onWritable?.invoke()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = close()

    private fun close() {
        isClosing = true
        context.close()
    }

    private fun closeIfExpired() {
        if (isHeadOverdue()) {
            refuseHead()
        } else if (isExpired()) {
            close()
        }
    }

    private fun isHeadOverdue(): Boolean = current == null && !isClosing && heads.isOverdue(limits.now.headerTimeout)

    /** Responds to a request of which only a part of the head has been received. */
    private fun refuseHead() {
        isClosing = true
        val timeout = HttpResponseStatus.REQUEST_TIMEOUT
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, timeout, Unpooled.EMPTY_BUFFER)
        response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        HttpUtil.setContentLength(response, 0)
        context.writeAndFlush(response).addListener { linger() }
    }

    /**
     * Closes the connection once the caller has, or after [LINGER_TIME]. What arrives until then is read and dropped:
     * closing a socket with unread bytes resets the connection, which can discard the end of a response.
     */
    private fun linger() {
        val channel = context.channel()
        if (channel !is SocketChannel || !channel.isActive) return close()
        isLingering = true
        channel.config().isAutoRead = true
        channel.shutdownOutput()
        context.executor().schedule(::close, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun isExpired(): Boolean =
        current == null && clock() - idleSince > maxOf(idleTimeout, limits.now.idleTimeout)

    /** A caller that receives a response slowly is not idle. */
    private fun noteWritten() {
        val buffer = context.channel().unsafe().outboundBuffer() ?: return
        val unsent = buffer.totalPendingWriteBytes() - buffer.currentProgress()
        if (unsent != unsentBytes) idleSince = clock()
        unsentBytes = unsent
    }

    /** Reads nothing while the requests that wait are larger together than one may be. */
    private fun pauseReading() {
        val waitingBytes = waiting.sumOf { (request, _) -> request.content().readableBytes().toLong() }
        context.channel().config().isAutoRead = waitingBytes <= limits.now.maxBodyBytes
    }

    /** A caller that sends requests and does not read the responses is served again when it has read some. */
    private fun serveNext() {
        if (current != null || unsentResponses >= MAX_WAITING) return
        val (request, receivedAt) = waiting.removeFirstOrNull() ?: return
        pauseReading()
        val exchange = Exchange(request, receivedAt)
        current = exchange
        val failure = request.decoderResult().cause()
        if (failure == null) serve(exchange.caller) else exchange.refuseUnreadable(failure)
    }

    private inner class Exchange(private val request: FullHttpRequest, receivedAt: Moment) : ResponseWriter {
        val caller = Caller(request, receivedAt, this)
        private val isKeepAlive = HttpUtil.isKeepAlive(request)
        private var isFinished = false

        override val isWritable: Boolean get() = context.channel().isWritable

        /** Bytes of the body that have not been passed to the connection yet; null if there are none. */
        private var unflushed: ByteBuf? = null

        override fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
            if (isFinished) {
                body.release()
                return
            }
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                body,
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
            if (hasLength(status)) HttpUtil.setContentLength(response, body.readableBytes().toLong())
            prepare(response)
            end(response)
        }

        override fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
            if (isFinished) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
            HttpUtil.setTransferEncodingChunked(response, true)
            prepare(response)
            context.write(response)
        }

        override fun append(bytes: ByteBuf) {
            val before = unflushed
            if (isFinished) {
                bytes.release()
            } else if (before == null) {
                unflushed = bytes
            } else {
                unflushed = join(before, bytes)
            }
        }

        override fun flush() {
            val bytes = unflushed ?: return
            unflushed = null
            if (isFinished) bytes.release() else context.writeAndFlush(DefaultHttpContent(bytes))
        }

        override fun finish() {
            if (isFinished) return
            flush()
            end(LastHttpContent.EMPTY_LAST_CONTENT)
        }

        override fun cut() {
            if (isFinished) return
            flush()
            release()
            close()
        }

        fun onClosed() {
            if (isFinished) return
            release()
            caller.onDisconnected()
        }

        fun refuseUnreadable(cause: Throwable) {
            val mayBeAllowed = limits.isProvisional || cause is TooLongFrameException && isOutgrown()
            val status = if (mayBeAllowed && isTooLong(cause)) SERVICE_UNAVAILABLE else statusOf(cause)
            val isBodyDropped = cause is BodyTooLongException && !HttpUtil.is100ContinueExpected(request)
            isClosing = isClosing || !isBodyDropped
            val headers = DefaultHttpHeaders(false)
            if (status == SERVICE_UNAVAILABLE) headers[HttpHeaderNames.RETRY_AFTER] = RETRY_AFTER_SECONDS
            logEvent(
                "front",
                "refused",
                "status" to status.code(),
                "detail" to cause.message,
                "provisional" to limits.isProvisional,
                "max-body" to limits.now.maxBodyBytes,
                "max-head" to decoderLimit(),
            )
            respond(status, headers, Unpooled.EMPTY_BUFFER)
        }

        /** False if [status] or the method excludes a body, whose length this process doesn't know then. */
        private fun hasLength(status: HttpResponseStatus) =
            request.method() != HttpMethod.HEAD && status != HttpResponseStatus.NOT_MODIFIED

        private fun prepare(response: HttpResponse) {
            isClosing = isClosing || !isKeepAlive || (isStopping() && waiting.isEmpty())
            if (isClosing) response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            encoder.isToHead = request.method() == HttpMethod.HEAD
        }

        private fun end(last: Any) {
            release()
            unsentResponses++
            val write = context.writeAndFlush(last).addListener { onSent(it.isSuccess) }
            idleSince = clock()
            idleTimeout = limits.now.idleTimeout
            if (isClosing) write.addListener { linger() } else serveNext()
        }

        private fun onSent(isSuccess: Boolean) {
            unsentResponses--
            if (isSuccess && !isClosing) serveNext()
        }

        private fun release() {
            isFinished = true
            current = null
            request.release()
            unflushed?.release()
            unflushed = null
        }
    }

    /** [first] and [second] in one buffer, which has room for more. */
    private fun join(first: ByteBuf, second: ByteBuf): ByteBuf {
        val length = first.readableBytes() + second.readableBytes()
        val joined = if (first.maxWritableBytes() >= second.readableBytes()) {
            first
        } else {
            Unpooled.buffer(2 * length).writeBytes(first).also { first.release() }
        }
        return joined.writeBytes(second).also { second.release() }
    }

    private fun isTooLong(cause: Throwable) = cause is TooLongFrameException || cause is BodyTooLongException

    /** True if the limit on heads was raised while the current one was being received. */
    private fun isOutgrown(): Boolean = limits.now.maxHeaderBytes > decoderLimit()

    private companion object {
        val SERVICE_UNAVAILABLE: HttpResponseStatus = HttpResponseStatus.SERVICE_UNAVAILABLE

        /** The configuration is read within a few hundred milliseconds of the start. */
        const val RETRY_AFTER_SECONDS = "0.5"

        fun statusOf(cause: Throwable): HttpResponseStatus = when {
            cause is BodyTooLongException -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            cause is UnknownExpectationException -> HttpResponseStatus.EXPECTATION_FAILED
            cause !is TooLongFrameException -> HttpResponseStatus.BAD_REQUEST
            cause.message.orEmpty().contains("header", ignoreCase = true) ->
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.REQUEST_URI_TOO_LONG
        }

        /**
         * Limit on pipelined requests that wait on one connection, of which a further one closes it, and on responses
         * that the caller has not received, of which a further one isn't begun.
         */
        const val MAX_WAITING = 16

        /** Callers close a connection as soon as they read its end, which takes milliseconds. */
        val LINGER_TIME = 1.seconds
    }
}
