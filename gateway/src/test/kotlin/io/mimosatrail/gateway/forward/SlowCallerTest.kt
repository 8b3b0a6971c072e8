package io.mimosatrail.gateway.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.mimosatrail.gateway.net.RawServer
import io.mimosatrail.gateway.net.readRequest
import io.mimosatrail.gateway.net.send
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
private const val FIRST = "id: 1\ndata: x\n\n"
private const val SECOND = "id: 2\ndata: x\n\n"

/** Longer than an upstream may be silent before the stream is also sent to another one. */
private const val PAUSE_MILLIS = 2_000L

/** The upstream sends while the caller receives nothing. */
private const val EVENT_INTERVAL_MILLIS = 100L

class SlowCallerTest :
    FunSpec({
        // Guards against a slow caller whose upstream, from which nothing is read meanwhile, is taken for silent.
        context("a stream whose caller pauses for two seconds stays at its upstream") {
            data class Case(val name: String, val isReportedDown: Boolean)
            withData(
                nameFn = { case: Case -> case.name },
                Case("no entry reports the upstream as down", isReportedDown = false),
                Case("another entry reports the upstream as down", isReportedDown = true),
            ) { case ->
                val requests = AtomicInteger()
                val servers = List(2) {
                    RawServer { socket ->
                        socket.readRequest()
                        requests.incrementAndGet()
                        socket.send(HEAD + FIRST)
                        Thread.sleep(EVENT_INTERVAL_MILLIS)
                        socket.send(SECOND)
                    }
                }
                val fixture = ForwardFixture(servers.map { it.address })
                val response = fixture.stream(RecordedResponse(isWritable = false))
                eventually(5.seconds) { response.body shouldBe FIRST }
                Thread.sleep(PAUSE_MILLIS)
                if (case.isReportedDown) servers.indices.forEach { fixture.onReportedDown(it) }
                fixture.activities().shouldBeEmpty()
                requests.get() shouldBe 1
                fixture.resume(response)
                eventually(5.seconds) { response.isComplete shouldBe true }
                response.body shouldBe FIRST + SECOND
                requests.get() shouldBe 1
                fixture.close()
                servers.forEach { it.close() }
            }
        }
    })
