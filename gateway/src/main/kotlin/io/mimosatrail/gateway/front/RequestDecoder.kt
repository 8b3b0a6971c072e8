package io.mimosatrail.gateway.front

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes requests whose head has at most [maxHeaderBytes] bytes. */
internal class RequestDecoder(val maxHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig().setMaxHeaderSize(maxHeaderBytes).setMaxInitialLineLength(maxHeaderBytes),
    ) {
    private var isWithinRequest = false
    private var isMalformed = false

    /** True if all bytes that were decoded belong to whole requests, so that another decoder can go on. */
    val isReplaceable: Boolean get() = !isWithinRequest && !isMalformed

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val before = buffer.readableBytes()
        super.decode(context, buffer, out)
        if (buffer.readableBytes() != before) isWithinRequest = true
        isMalformed = isMalformed || out.any { it is HttpObject && it.decoderResult().isFailure }
        if (out.lastOrNull() is LastHttpContent) isWithinRequest = false
    }
}

/**
 * Goes before the decoder, which can't change its limit, and replaces it between two requests if another limit is in
 * force by then.
 */
internal class RequestDecoderUpdate(private val limits: LimitsInForce) : ChannelInboundHandlerAdapter() {
    /** The decoder in use. */
    var decoder = RequestDecoder(limits.now.maxHeaderBytes)
        private set

    /** Limit of the decoder in use. */
    val maxHeaderBytes: Int get() = decoder.maxHeaderBytes

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val maxHeaderBytes = limits.now.maxHeaderBytes
        if (decoder.isReplaceable && decoder.maxHeaderBytes != maxHeaderBytes) {
            val next = RequestDecoder(maxHeaderBytes)
            context.pipeline().replace(decoder, null, next)
            decoder = next
        }
        context.fireChannelRead(message)
    }
}
