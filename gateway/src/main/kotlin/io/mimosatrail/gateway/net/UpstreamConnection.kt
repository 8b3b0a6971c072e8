package io.mimosatrail.gateway.net

import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One HTTP connection to an upstream, which carries one request at a time. Confined to the event loop.
 *
 * The connection is reused only if every byte that it received belongs to an answer that has ended. Bytes that arrive
 * while no request is in flight are not decoded, since a decoder would take them for the beginning of the next answer.
 */
internal class UpstreamConnection(
    private val clock: Clock,
    private val onIdle: (UpstreamConnection) -> Unit,
    private val onClosed: (UpstreamConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val channel get() = context.channel() as UpstreamChannel
    private var listener: AnswerListener? = null
    private var writeFuture: ChannelFuture? = null
    private var head: HttpResponse? = null
    private var isInterim = false
    private var receivedBytes = 0L
    private val body = BodyParts()

    /** Bytes received since the request was sent, while there is no head; those of interim answers count too. */
    private var bytesBeforeHead = 0L
    private var transportError: String? = null
    private val decoder = AnswerDecoder()

    /** True while received bytes are being handled. */
    private var isReceiving = false

    private val beforeDecoder = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            isReceiving = true
            try {
                receive(context, message)
            } finally {
                isReceiving = false
            }
        }

        private fun receive(context: ChannelHandlerContext, message: Any) {
            if (listener != null) {
                if (head == null) bytesBeforeHead += (message as ByteBuf).readableBytes()
                context.fireChannelRead(message)
                if (listener != null && head == null && bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
                    fail(SendEnd.GARBLED, "no answer within $bytesBeforeHead bytes")
                }
            } else {
                ReferenceCountUtil.release(message)
                closeStray("bytes while no request is in flight")
            }
        }
    }

    /** The handlers of the connection, in the order in which they see what is received. */
    val handlers: List<ChannelHandler> get() = listOf(beforeDecoder, decoder, HttpRequestEncoder(), this)

    /** Time at which the last answer ended, or at which the connection was returned unused. */
    var idleSince: Moment = clock()
        private set

    /** How long the connection may be idle before it is closed instead of reused. */
    var idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT
        private set

    /** True until the first request is sent: no answer to another request can arrive over this connection. */
    var isUnused = true
        private set

    val isOpen: Boolean get() = channel.isActive

    private val isRequestSent: Boolean get() = writeFuture?.isSuccess == true

    /**
     * True if this idle connection can carry a request. A late event loop may not have noticed yet that the connection
     * has ended, or that bytes arrived which belong to no request.
     */
    fun isReusable(): Boolean {
        if (isOpen && !isReceiving) channel.readNow()
        return isOpen
    }

    /** Sends [request] and passes the answer to [listener]. Releases the request. */
    fun send(request: FullHttpRequest, listener: AnswerListener) {
        check(this.listener == null) { "the connection already carries a request" }
        if (!isOpen) {
            ReferenceCountUtil.release(request)
            listener.onFailed(SendEnd.NOT_SENT, "the connection was closed before the request was sent")
            return
        }
        this.listener = listener
        isUnused = false
        head = null
        receivedBytes = 0
        bytesBeforeHead = 0
        decoder.method = request.method()
        writeFuture = context.writeAndFlush(request)
    }

    /** Returns a connection that was leased and not used to the pool. */
    fun markIdle() {
        idleSince = clock()
        if (isOpen) onIdle(this)
    }

    /** Closes the connection without waiting for the answer; the listener is not called any more. */
    fun abort() {
        listener = null
        context.close()
    }

    /** Pauses or resumes reading, so that a slow caller holds back the upstream. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent) onContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) = deliverBody()

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        transportError = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        deliverBody()
        val cause = transportError?.let { "the connection failed: $it" } ?: "the upstream closed the connection"
        fail(SendEnd.BROKEN, if (head == null) "$cause before the answer" else "$cause within the answer")
        onClosed(this)
    }

    private fun onHead(response: HttpResponse) {
        if (response.decoderResult().isFailure) {
            return fail(
                SendEnd.GARBLED,
                "the upstream sent bytes that are no answer",
            )
        }
        if (listener == null) return close()
        if (response.isSpliced()) return fail(SendEnd.GARBLED, "the upstream sent the heads of two answers in one")
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) {
            return fail(SendEnd.GARBLED, "the upstream changed the protocol unasked")
        }
        isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim) return
        head = response
        listener?.onHead(response)
    }

    private fun onContent(content: HttpContent) {
        if (content.decoderResult().isFailure) {
            deliverBody()
            return fail(SendEnd.GARBLED, "the body of the answer is malformed")
        }
        if (listener == null) return close()
        if (!isInterim) onBody(content.content())
        if (content is LastHttpContent && !isInterim) onComplete()
    }

    private fun onBody(part: ByteBuf) {
        if (!part.isReadable) return
        receivedBytes += part.readableBytes()
        body.add(part)
    }

    private fun deliverBody() = body.take { listener?.onBody(it) }

    private fun onComplete() {
        val response = head ?: return
        deliverBody()
        whyIncomplete(response)?.let { return fail(SendEnd.BROKEN, it) }
        val ended = listener ?: return
        listener = null
        setReading(true)
        idleSince = clock()
        response.headers()[KEEP_ALIVE]?.let(::keepAliveTimeout)?.let { idleTimeout = it }
        when {
            decoder.bufferedBytes > 0 -> closeStray("${decoder.bufferedBytes} bytes after an answer")
            HttpUtil.isKeepAlive(response) && isOpen && isRequestSent -> onIdle(this)
            else -> close()
        }
        ended.onEnd()
    }

    /** Why the answer that the decoder takes as ended is not complete, or null if it is. */
    private fun whyIncomplete(response: HttpResponse): String? {
        transportError?.let { return "the connection failed within the answer: $it" }
        val length = if (decoder.isBodiless) 0 else HttpUtil.getContentLength(response, -1L)
        return when {
            length == receivedBytes -> null
            length >= 0 -> "the answer ended after $receivedBytes of $length bytes"
            HttpUtil.isTransferEncodingChunked(response) -> null
            !channel.hasInputEnded -> "the connection broke within the answer"
            // The peer may have closed its side only to reset the connection when the rest of the request arrives.
            !isRequestSent -> "the upstream closed the connection before it had read the request"
            else -> null
        }
    }

    private fun fail(end: SendEnd, detail: String) {
        val failed = listener
        listener = null
        close()
        failed?.onFailed(end, detail)
    }

    private fun closeStray(detail: String) {
        val peer = channel.remoteAddress()
        if (isOpen) logProblem("connection", "stray-bytes", "peer" to peer, "detail" to detail)
        close()
    }

    private fun close() {
        context.close()
    }

    private companion object {
        /** Interim answers and the head of the answer have room in this; the decoder bounds each head. */
        const val MAX_BYTES_BEFORE_HEAD = 64 * 1024
        val KEEP_ALIVE = HttpHeaderNames.KEEP_ALIVE.toString()

        /** Used if the upstream announces no timeout. */
        val DEFAULT_IDLE_TIMEOUT = 4.seconds

        /** Fraction of the announced timeout that is used: the upstream starts to count earlier than this process. */
        const val KEEP_ALIVE_FRACTION = 0.7

        val timeoutParameter = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveTimeout(header: String): Duration? =
            timeoutParameter.find(header)?.groupValues?.get(1)?.toLongOrNull()?.let { it.seconds * KEEP_ALIVE_FRACTION }
    }
}
