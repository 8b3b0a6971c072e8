package io.mimosatrail.daemon.http

import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.Jetty
import org.http4k.server.ServerConfig.StopMode
import org.http4k.server.asServer

/** Threads beyond one per request, which Jetty uses for its acceptors and selectors. */
private const val SPARE_THREADS = 16

/** Starts a server for [handler] at [host] and [port], with threads for [maxRequests] concurrent requests. */
internal fun serveHttp(handler: HttpHandler, host: String, port: Int, maxRequests: Int): Http4kServer {
    val server = Server(QueuedThreadPool(maxRequests + SPARE_THREADS))
    val connector = ServerConnector(server)
    connector.host = host
    connector.port = port
    server.addConnector(connector)
    return handler.asServer(Jetty(port, StopMode.Immediate, server)).start()
}
