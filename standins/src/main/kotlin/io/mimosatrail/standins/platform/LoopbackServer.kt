package io.mimosatrail.standins.platform

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/**
 * HTTP server on a free port of the loopback address with one thread for each request. Some faults must cut off a
 * response midway; the server of the JDK does so if [serve] returns before the response is complete.
 */
internal class LoopbackServer(private val serve: (HttpExchange) -> Unit) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)

    /** Address as `host:port`. */
    val address = "127.0.0.1:${server.address.port}"

    init {
        server.executor = threads
        server.createContext("/") { exchange -> exchange.use { serve(exchange) } }
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

/** Sends a complete response. */
internal fun HttpExchange.respond(status: Int, body: String) {
    val bytes = body.toByteArray()
    sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
    if (bytes.isNotEmpty()) responseBody.write(bytes)
}
