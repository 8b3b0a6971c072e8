package io.mimosatrail.gateway.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.mimosatrail.gateway.net.RawServer
import io.mimosatrail.gateway.net.readRequest
import io.mimosatrail.gateway.net.send
import kotlin.time.Duration.Companion.seconds

private const val ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
    "id: 1\ndata: x\n\n"

/** Keeps the connections in use while the entry sends all its requests. */
private const val OPEN_MILLIS = 1_000L

class ConnectionShareTest :
    FunSpec({
        // Guards against entries that give up streams of an engine to which one of them has no connection left.
        context("an engine is reported as down only if it cannot be reached") {
            data class Case(val name: String, val streams: Int, val isListening: Boolean, val down: List<Int>)
            withData(
                nameFn = { case: Case -> case.name },
                Case("a stream over the only connection", streams = 1, isListening = true, down = emptyList()),
                Case("two streams, for which the connection does not suffice", 2, isListening = true, emptyList()),
                Case("an engine that refuses connections", streams = 1, isListening = false, down = listOf(0)),
            ) { case ->
                val server = RawServer { socket ->
                    socket.readRequest()
                    socket.send(ANSWER)
                    Thread.sleep(OPEN_MILLIS)
                }
                if (!case.isListening) server.close()
                val fixture = ForwardFixture(listOf(server.address), maxConnections = 1)
                val responses = List(case.streams) { fixture.stream() }
                eventually(1.seconds) {
                    if (case.isListening) {
                        responses.count { it.body.isNotEmpty() } shouldBe 1
                    } else {
                        fixture.detectedDown() shouldBe case.down
                    }
                }
                fixture.detectedDown() shouldBe case.down
                fixture.close()
                server.close()
            }
        }
    })
