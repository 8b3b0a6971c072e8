package io.mimosatrail.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Joins the parts of a body that one read brings, so that tiny chunks cost no more than their bytes. */
internal class BodyParts {
    private var first: ByteBuf? = null
    private var joined: ByteBuf? = null

    /** Adds [part], which stays the caller's. */
    fun add(part: ByteBuf) {
        val alone = first
        when {
            joined != null -> joined?.writeBytes(part)
            alone == null -> first = part.retain()
            else -> {
                joined =
                    Unpooled.buffer(alone.readableBytes() + part.readableBytes()).writeBytes(alone).writeBytes(part)
                alone.release()
                first = null
            }
        }
    }

    /** Passes all that was added since the last call to [onBody], which may read it during the call only. */
    fun take(onBody: (ByteBuf) -> Unit) {
        val body = joined ?: first ?: return
        joined = null
        first = null
        try {
            onBody(body)
        } finally {
            body.release()
        }
    }
}
