package io.mimosatrail.standins

import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kJettyHttpHandler

/** Each open request blocks a thread, so this also limits the open requests of a stand-in. */
private const val MAX_THREADS = 2_048
private const val MIN_THREADS = 8
private const val ACCEPTORS = 1
private const val SELECTORS = 2

/** HTTP server of a stand-in on the loopback address. [port] 0 selects a free port. */
internal class StandinServer(private val port: Int, handler: HttpHandler) {
    private val pool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { isDaemon = true }
    private val server = Server(pool)
    private val connector = ServerConnector(server, ACCEPTORS, SELECTORS, HttpConnectionFactory(configuration()))

    init {
        connector.host = "127.0.0.1"
        connector.port = port
        server.addConnector(connector)
        server.handler = ConnectionDropper(Http4kJettyHttpHandler(handler))
    }

    val url: String get() = "http://127.0.0.1:${connector.localPort}"

    fun start() {
        server.start()
    }

    /** Closes all connections immediately, without waiting for open requests. */
    fun stop() {
        server.stopTimeout = 0
        connector.connectedEndPoints.toList().forEach { it.close() }
        server.stop()
    }

    private fun configuration() = HttpConfiguration().apply { sendServerVersion = false }
}

/** Thrown by a handler to close the connection without a response. */
internal class DropConnection : RuntimeException("the connection is closed without a response") {
    override fun fillInStackTrace(): Throwable = this
}

/** Closes the connection if the handler throws [DropConnection] or its thread is interrupted. */
private class ConnectionDropper(next: Handler) : Handler.Wrapper(next) {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean = try {
        super.handle(request, response, callback)
    } catch (e: DropConnection) {
        drop(request, callback)
    } catch (e: InterruptedException) {
        drop(request, callback)
    }

    private fun drop(request: Request, callback: Callback): Boolean {
        request.connectionMetaData.connection.endPoint.close()
        callback.succeeded()
        return true
    }
}
