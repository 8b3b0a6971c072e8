package io.mimosatrail.gateway.front

import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** The body of a request is longer than is allowed. */
internal class BodyTooLongException(limit: Int) : RuntimeException("the body is longer than $limit bytes")

/** A request expects something else than `100-continue`. */
internal class UnknownExpectationException(expectation: String) :
    RuntimeException("expectation $expectation is unknown")

/** The end of a request, and with it the next request, can't be found. */
internal class UnknownFramingException(coding: String) : RuntimeException("transfer coding $coding has no end")

/**
 * Collects the body of each request and passes the request on once it is complete. The limit is the one in force when
 * the head arrives; a larger one applies at once.
 *
 * A request that can't be served is passed on as soon as that is known, with the reason as its decoder result; the rest
 * of its body is dropped. [isUnanswered] is true while an earlier request has no response yet.
 */
internal class RequestCollector(private val limits: LimitsInForce, private val isUnanswered: () -> Boolean) :
    ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var limitAtHead = 0
    private var droppedBytes = 0L

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is FullHttpRequest) {
            context.fireChannelRead(message)
            return
        }
        try {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) add(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = clear()

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        clear()
        head = request
        droppedBytes = 0
        limitAtHead = limits.now.maxBodyBytes
        body = context.alloc().compositeBuffer(MAX_BODY_PARTS)
        val expectation = request.headers()[HttpHeaderNames.EXPECT]
        val coding = request.headers()[HttpHeaderNames.TRANSFER_ENCODING]
        val malformed: Throwable? = request.decoderResult().cause()
        when {
            malformed != null -> refuse(context, malformed)
            coding != null && !HttpUtil.isTransferEncodingChunked(request) ->
                refuse(context, UnknownFramingException(coding))
            HttpUtil.getContentLength(request, 0L) > limitAtHead -> refuse(context, BodyTooLongException(limitAtHead))
            expectation == null -> Unit
            !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation) ->
                refuse(context, UnknownExpectationException(expectation))
            !isUnanswered() -> context.writeAndFlush(CONTINUE.retainedDuplicate())
        }
    }

    private fun add(context: ChannelHandlerContext, part: HttpContent) {
        val collected = body
        when {
            collected == null -> drop(context, part)
            collected.readableBytes().toLong() + part.content().readableBytes() > limit() ->
                refuse(context, BodyTooLongException(limit()))
            else -> collected.addFlattenedComponents(true, part.content().retain())
        }
        if (part is LastHttpContent) finish(context, part)
    }

    private fun limit(): Int = maxOf(limitAtHead, limits.now.maxBodyBytes)

    private fun drop(context: ChannelHandlerContext, part: HttpContent) {
        droppedBytes += part.content().readableBytes() + PART_BYTES
        if (droppedBytes > MAX_DROPPED_BYTES) context.close()
    }

    private fun finish(context: ChannelHandlerContext, last: LastHttpContent) {
        val request = head
        val collected = body
        head = null
        body = null
        if (request == null || collected == null) return
        val headers = request.headers()
        HttpUtil.setTransferEncodingChunked(request, false)
        if (!HttpUtil.isContentLengthSet(request)) headers[HttpHeaderNames.CONTENT_LENGTH] = collected.readableBytes()
        val whole = DefaultFullHttpRequest(
            request.protocolVersion(),
            request.method(),
            request.uri(),
            collected,
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
        whole.decoderResult = last.decoderResult()
        context.fireChannelRead(whole)
    }

    private fun refuse(context: ChannelHandlerContext, cause: Throwable) {
        val request = head ?: return
        clear()
        val refused = DefaultFullHttpRequest(
            request.protocolVersion(),
            request.method(),
            request.uri(),
            Unpooled.EMPTY_BUFFER,
            request.headers(),
            EmptyHttpHeaders.INSTANCE,
        )
        refused.decoderResult = DecoderResult.failure(cause)
        context.fireChannelRead(refused)
    }

    private fun clear() {
        body?.release()
        body = null
        head = null
    }

    private companion object {
        /** Bodies in more parts are copied together. */
        const val MAX_BODY_PARTS = 1024

        /** Work for a part of a body, however short it is, in terms of its bytes. */
        const val PART_BYTES = 64L

        /** What is read of the body of a refused request before its connection is closed. */
        const val MAX_DROPPED_BYTES = 16L * 1024 * 1024

        val CONTINUE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}
