package io.mimosatrail.gateway.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.gateway.net.RawServer
import io.mimosatrail.gateway.net.readRequest
import io.mimosatrail.gateway.net.send
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
private const val EVENT_INTERVAL_MILLIS = 20L
private const val EVENTS = 40

/** Longer than a caller waits for the next event. */
private const val SILENCE_MILLIS = 6_000L

private fun event(id: Int) = "id: $id\ndata: x\n\n"

private fun Socket.sendEvents(ids: IntRange) = ids.forEach {
    send(event(it))
    Thread.sleep(EVENT_INTERVAL_MILLIS)
}

/** Two engines; [answer] gets the number of the request over both, from 1. */
private class Engines(answer: (Socket, Int) -> Unit) : AutoCloseable {
    private val count = AtomicInteger()
    private val servers = List(2) {
        RawServer { socket ->
            socket.readRequest()
            answer(socket, count.incrementAndGet())
        }
    }
    private val fixture = ForwardFixture(servers.map { it.address })
    val requests: Int get() = count.get()

    /** Starts a stream and returns its response once it has begun. */
    suspend fun stream(): RecordedResponse =
        fixture.stream().also { eventually(5.seconds) { it.body.isNotEmpty() shouldBe true } }

    /** Another entry reports both engines as down. */
    fun reportDown() = servers.indices.forEach { fixture.onReportedDown(it) }

    override fun close() {
        fixture.close()
        servers.forEach { it.close() }
    }
}

class ReportedEngineTest :
    FunSpec({
        // Guards against an entry that gives up streams of a healthy engine because another entry took it for down.
        test("a stream whose events go on stays at an engine that another entry reports as down") {
            val engines = Engines { socket, _ ->
                socket.send(HEAD)
                socket.sendEvents(1..EVENTS)
            }
            engines.use {
                val response = engines.stream()
                engines.reportDown()
                eventually(5.seconds) { response.isComplete shouldBe true }
                response.body shouldBe (1..EVENTS).joinToString("") { event(it) }
                engines.requests shouldBe 1
            }
        }

        test("a stream that stops at an engine reported as down continues at another engine") {
            val engines = Engines { socket, request ->
                socket.send(HEAD)
                socket.sendEvents(if (request == 1) 1..2 else 3..4)
                if (request == 1) Thread.sleep(SILENCE_MILLIS)
            }
            engines.use {
                val response = engines.stream()
                engines.reportDown()
                eventually(3.seconds) { response.isComplete shouldBe true }
                response.body shouldBe (1..4).joinToString("") { event(it) }
                engines.requests shouldBe 2
            }
        }
    })
