package io.mimosatrail.gateway.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.front.FrontLimits
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.systemClock
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SOCKET_TIMEOUT_MILLIS = 5_000
private const val LARGE_BODY = 32 * 1024 * 1024
private val idleTimeout = 5.seconds

/** A caller's connection to a server whose clock advances only by [pass]. Requests for `/large` get a large body. */
private class IdleFixture(private val group: NioEventLoopGroup) : AutoCloseable {
    private val start = systemClock()
    private var passed = Duration.ZERO
    private var limits = FrontLimits(maxHeaderBytes = 1_024, maxBodyBytes = 2_048, 3.seconds, idleTimeout)
    private val server = FrontServer(group, { start + passed }, { limits }) {
        val body = if (it.request.uri() == "/large") ByteArray(LARGE_BODY) else "ok".toByteArray()
        it.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), Unpooled.wrappedBuffer(body))
    }
    private val socket = bindLoopback().let {
        server.listen(it)
        Socket("127.0.0.1", it.socket().localPort).apply { soTimeout = SOCKET_TIMEOUT_MILLIS }
    }

    private fun bindLoopback() = bindFront(PeerAddress("127.0.0.1", 0))

    override fun close() = socket.close()

    fun send(text: String) = socket.getOutputStream().write(text.toByteArray())

    /** Sends a request and returns true if it is answered in full, false if the connection is closed. */
    fun get(path: String = "/"): Boolean {
        send("GET $path HTTP/1.1\r\nHost: h\r\n\r\n")
        return isAnswered()
    }

    /** True if an answer arrives in full, false if the connection is closed before. */
    fun isAnswered(): Boolean = runCatching {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = socket.getInputStream().read()
            if (next < 0) return false
            head.append(next.toChar())
        }
        val length = head.substring(head.indexOf("content-length: ") + "content-length: ".length).substringBefore("\r")
        receive(length.toInt())
    }.getOrElse { false }

    /** True if [count] more bytes arrive. */
    fun receive(count: Int): Boolean = socket.getInputStream().readNBytes(count).size == count

    /** Lets [time] pass, after everything that was sent has been read, then closes idle connections. */
    fun pass(time: Duration) {
        awaitTurn()
        onLoop {
            passed += time
            server.closeIdle()
        }
        awaitTurn()
    }

    /** Lets [time] pass while the event loop is late, so that [text], which arrives meanwhile, is not read. */
    fun passLate(time: Duration, text: String) = onLoop {
        send(text)
        passed += time
        server.closeIdle()
    }

    /** Changes the timeout after the last response has ended; the caller may have received it slightly earlier. */
    fun configure(timeout: Duration) = onLoop {
        limits = limits.copy(idleTimeout = timeout)
    }

    /** Returns after the event loop has read what was sent before. */
    private fun awaitTurn() = repeat(2) {
        onLoop {}
        Thread.sleep(TURN_MILLIS)
    }

    private fun onLoop(action: () -> Unit) {
        group.submit(action).get()
    }

    private companion object {
        const val TURN_MILLIS = 10L
    }
}

/** What a caller does, and whether its last request is answered. */
private class IdleCase(val name: String, val isAnswered: Boolean, val act: IdleFixture.() -> Boolean)

class IdleConnectionTest :
    FunSpec({
        val group = NioEventLoopGroup(1)
        afterSpec { group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS) }

        // Guards against a request that was sent in time and whose connection is closed without an answer.
        context("a connection is closed only once it has been idle for the timeout that holds for it") {
            withData(
                nameFn = { it.name },
                IdleCase("idle for less than the timeout", isAnswered = true) {
                    get()
                    pass(idleTimeout)
                    get()
                },
                IdleCase("idle for longer than the timeout", isAnswered = false) {
                    get()
                    pass(idleTimeout + 1.seconds)
                    get()
                },
                IdleCase("never used", isAnswered = false) {
                    pass(idleTimeout + 1.seconds)
                    get()
                },
                IdleCase("a request that arrived while the event loop was late", isAnswered = true) {
                    get()
                    passLate(idleTimeout + 1.seconds, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    isAnswered()
                },
                IdleCase("a body that arrives slowly", isAnswered = true) {
                    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
                    repeat(3) {
                        pass(idleTimeout - 1.seconds)
                        send("x")
                    }
                    isAnswered()
                },
                IdleCase("a response that is received slowly", isAnswered = true) {
                    send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
                    val isReceived = (1..4).all {
                        pass(idleTimeout - 1.seconds)
                        receive(LARGE_BODY / 5)
                    }
                    isReceived && receive(LARGE_BODY / 5)
                },
                IdleCase("a response that is not received", isAnswered = false) {
                    send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
                    repeat(3) { pass(idleTimeout - 1.seconds) }
                    isAnswered()
                },
                IdleCase("a timeout that becomes shorter after the last response", isAnswered = true) {
                    get()
                    configure(1.seconds)
                    pass(idleTimeout - 1.seconds)
                    get()
                },
                IdleCase("a timeout that became shorter before the last response", isAnswered = false) {
                    get()
                    configure(1.seconds)
                    get()
                    pass(2.seconds)
                    get()
                },
                IdleCase("a timeout that becomes longer", isAnswered = true) {
                    get()
                    configure(idleTimeout * 2)
                    pass(idleTimeout + 1.seconds)
                    get()
                },
            ) { case -> IdleFixture(group).use { case.act(it) } shouldBe case.isAnswered }
        }
    })
