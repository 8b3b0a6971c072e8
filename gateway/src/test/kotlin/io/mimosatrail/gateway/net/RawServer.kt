package io.mimosatrail.gateway.net

import io.mimosatrail.core.net.PeerAddress
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A TCP server on loopback that passes each connection to [serve] on a thread of its own, then closes it. */
internal class RawServer(private val serve: (Socket) -> Unit) : AutoCloseable {
    private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    val address = PeerAddress("127.0.0.1", socket.localPort)

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val accepted = runCatching { socket.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { accepted.use { runCatching { serve(it) } } }
            }
        }
    }

    override fun close() = socket.close()
}

/** Reads a request without a body. */
internal fun Socket.readRequest() {
    val reader = getInputStream().bufferedReader()
    while (!reader.readLine().isNullOrEmpty()) Unit
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Sends [piece] again and again until the peer closes the connection. */
internal fun Socket.sendEndlessly(piece: String) {
    while (true) send(piece)
}

/** Makes the next close send a TCP reset. */
internal fun Socket.resetOnClose() = setSoLinger(true, 0)
