package io.mimosatrail.gateway.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.mimosatrail.gateway.net.RawServer
import io.mimosatrail.gateway.net.readRequest
import io.mimosatrail.gateway.net.send
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
private const val STREAMS = 6

class StreamRetryBudgetTest :
    FunSpec({
        // Guards against streams that are cut because their engine breaks off more of them than the budget has retries.
        test("streams that break at the same moment continue as soon as the retry budget allows it") {
            val requests = AtomicInteger()
            // A first send breaks off once all have arrived, so that no later send is taken for a first one.
            val firstSends = CountDownLatch(STREAMS)
            val engines = List(2) {
                RawServer { socket ->
                    socket.readRequest()
                    val isFirst = requests.incrementAndGet() <= STREAMS
                    firstSends.countDown()
                    firstSends.await()
                    socket.send(HEAD + if (isFirst) "id: 1\ndata: x\n\nid: 2\nda" else "id: 2\ndata: x\n\n")
                }
            }
            // Four retries in a window that is much shorter than a stream may wait.
            val fixture = ForwardFixture(engines.map { it.address }, retrySlack = 6.0, retryWindow = 400.milliseconds)
            val responses = List(STREAMS) { fixture.stream() }
            eventually(3.seconds) { responses.forEach { (it.isComplete || it.isCut) shouldBe true } }
            responses.count { it.isComplete } shouldBe STREAMS
            responses.forEach { it.body shouldBe "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" }
            fixture.close()
            engines.forEach { it.close() }
        }
    })
