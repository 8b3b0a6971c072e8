package io.mimosatrail.gateway.front

import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import kotlin.time.Duration

/**
 * Measures how long a caller has been sending the head of a request. Its two handlers enclose the HTTP decoder.
 *
 * The beginning of a head that arrives together with the end of the request before it is noticed with the next bytes;
 * if none follow, the idle timeout applies.
 */
internal class RequestHeadTimer(private val clock: Clock) {
    private var startedAt: Moment? = null
    private var isInBody = false

    /** Goes before the decoder. */
    val beforeDecoder: ChannelInboundHandler = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (!isInBody && startedAt == null) startedAt = clock()
            context.fireChannelRead(message)
        }
    }

    /** Goes after the decoder. */
    val afterDecoder: ChannelInboundHandler = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) {
                startedAt = null
                isInBody = true
            }
            if (message is LastHttpContent) isInBody = false
            context.fireChannelRead(message)
        }
    }

    /** True if the head of the next request has begun and is not complete after [limit]. */
    fun isOverdue(limit: Duration): Boolean = startedAt?.let { clock() - it > limit } ?: false
}
