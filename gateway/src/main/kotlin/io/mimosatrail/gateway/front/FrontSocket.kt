package io.mimosatrail.gateway.front

import io.mimosatrail.core.net.PeerAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel

/** Connections that wait to be accepted; a burst after a failure of other entries comes at once. */
private const val BACKLOG = 1024

/**
 * Listens on [address], so that callers can connect from now on; they are served once a gateway takes the socket over.
 * Fails with an `IOException` if the address cannot be had.
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
