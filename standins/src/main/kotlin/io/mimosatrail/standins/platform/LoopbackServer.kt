package io.mimosatrail.standins.platform

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/**
 * Serves HTTP on a free port of the loopback address, each call on a thread of its own. The JDK's server is used since
 * a stand-in has to break off answers midway, which it does when an exchange is closed early.
 */
internal class LoopbackServer(private val serve: (HttpExchange) -> Unit) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)

    val address = "127.0.0.1:${server.address.port}"

    init {
        server.executor = threads
        server.createContext("/") { call -> call.use { serve(call) } }
        server.start()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private inline fun HttpExchange.use(block: () -> Unit) = try {
        block()
    } finally {
        close()
    }
}

/** Sends a whole answer. */
internal fun HttpExchange.answer(status: Int, body: String) {
    val bytes = body.toByteArray()
    sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
    if (bytes.isNotEmpty()) responseBody.write(bytes)
}
