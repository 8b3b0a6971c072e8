package io.mimosatrail.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.socket.nio.NioSocketChannel

/**
 * Socket of a connection to an upstream, which tells how the connection ended: Netty reports a clean close by the peer,
 * a reset that fails a write, and a close by this process in the same way.
 */
internal class UpstreamChannel : NioSocketChannel() {
    /** True once the peer has ended its side with all that it sent received. */
    var hasInputEnded = false
        private set

    /** Reads what has arrived since the event loop looked last. Must not be called while this channel is being read. */
    fun readNow() = (unsafe() as NioUnsafe).read()

    override fun doReadBytes(buffer: ByteBuf): Int {
        val count = super.doReadBytes(buffer)
        if (count < 0) hasInputEnded = true
        return count
    }
}
