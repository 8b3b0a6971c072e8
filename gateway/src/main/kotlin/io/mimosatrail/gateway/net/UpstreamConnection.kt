package io.mimosatrail.gateway.net

import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection to an upstream, which carries one request at a time. Confined to the event loop.
 *
 * Anything that arrives without a request, or after a complete answer, belongs to nobody and ends the connection.
 */
internal class UpstreamConnection(
    private val clock: Clock,
    private val onIdle: (UpstreamConnection) -> Unit,
    private val onClosed: (UpstreamConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var listener: AnswerListener? = null
    private var written: ChannelFuture? = null
    private var head: HttpResponse? = null
    private var isInterim = false
    private var receivedBytes = 0L
    private var transportError: String? = null

    /** Moment at which the last answer ended. */
    var idleSince: Moment = clock()
        private set

    /** How long the upstream keeps this connection open without a request. */
    var idleLimit: Duration = DEFAULT_IDLE_LIMIT
        private set

    val isOpen: Boolean get() = context.channel().isActive

    /** Sends [request]; the answer goes to [listener]. Takes over the reference to the request. */
    fun send(request: FullHttpRequest, listener: AnswerListener) {
        check(this.listener == null) { "the connection carries a request already" }
        if (!isOpen) {
            ReferenceCountUtil.release(request)
            listener.onFailed(SendEnd.NOT_SENT, "the connection was closed before the request was sent")
            return
        }
        this.listener = listener
        head = null
        receivedBytes = 0
        written = context.writeAndFlush(request)
    }

    /** Offers a connection that was leased and not used for reuse. */
    fun markIdle() {
        idleSince = clock()
        if (isOpen) onIdle(this)
    }

    /** Gives up on the answer and closes the connection; the listener hears nothing more. */
    fun abort() {
        listener = null
        context.close()
    }

    /** Stops or resumes reading, for a caller that does not take the answer as fast as it comes. */
    fun setReading(isReading: Boolean) {
        context.channel().config().isAutoRead = isReading
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

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        transportError = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
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
        isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInterim) return
        head = response
        listener?.onHead(response)
    }

    private fun onContent(content: HttpContent) {
        if (content.decoderResult().isFailure) return fail(SendEnd.GARBLED, "the body of the answer is malformed")
        if (listener == null) return close()
        if (!isInterim) onBody(content.content())
        if (content is LastHttpContent && !isInterim) onLast()
    }

    private fun onBody(part: ByteBuf) {
        if (!part.isReadable) return
        receivedBytes += part.readableBytes()
        listener?.onBody(part)
    }

    private fun onLast() {
        val response = head ?: return
        transportError?.let { return fail(SendEnd.BROKEN, "the connection failed within the answer: $it") }
        val length = HttpUtil.getContentLength(response, -1L)
        if (length in 0 until Long.MAX_VALUE && length != receivedBytes) {
            return fail(SendEnd.BROKEN, "the answer ended after $receivedBytes of $length bytes")
        }
        val ended = listener ?: return
        listener = null
        idleSince = clock()
        response.headers()[KEEP_ALIVE]?.let(::keepAliveLimit)?.let { idleLimit = it }
        if (HttpUtil.isKeepAlive(response) && isOpen && written?.isSuccess == true) onIdle(this) else close()
        ended.onEnd()
    }

    private fun fail(end: SendEnd, detail: String) {
        val failed = listener
        listener = null
        close()
        failed?.onFailed(end, detail)
    }

    private fun close() {
        context.close()
    }

    private companion object {
        val KEEP_ALIVE = HttpHeaderNames.KEEP_ALIVE.toString()

        /** Idle time that is assumed where the upstream names none. */
        val DEFAULT_IDLE_LIMIT = 4.seconds

        /** Share of the announced idle time that is used, since the upstream counts from an earlier moment. */
        const val IDLE_SHARE = 0.7

        val timeoutParameter = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveLimit(header: String): Duration? =
            timeoutParameter.find(header)?.groupValues?.get(1)?.toLongOrNull()?.let { it.seconds * IDLE_SHARE }
    }
}
