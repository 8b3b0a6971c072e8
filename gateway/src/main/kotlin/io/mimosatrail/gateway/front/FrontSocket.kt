package io.mimosatrail.gateway.front

import io.mimosatrail.core.net.PeerAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/** Length of the accept queue; after the failure of other entries, many callers connect at the same time. */
private const val BACKLOG = 1024

/**
 * Opens a socket that listens on [address]. Callers can connect at once; they are served when a gateway starts to
 * accept connections on the socket. Throws an `IOException` if [address] cannot be bound.
 */
fun bindFront(address: PeerAddress): ServerSocketChannel {
    val socket = ServerSocketChannel.open()
    try {
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        return socket.bind(InetSocketAddress(address.host, address.port), BACKLOG)
    } catch (e: IOException) {
        socket.close()
        throw e
    }
}
