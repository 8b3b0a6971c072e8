package io.mimosatrail.gateway.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.mimosatrail.gateway.net.RawServer
import io.mimosatrail.gateway.net.readRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** More upstreams than a request tries to connect to. */
private const val UNREACHABLE = 4

class UnreachableUpstreamTest :
    FunSpec({
        // Guards against "not run" for a request that an upstream may have run before the others were unreachable.
        context("the answer to a request that finds no reachable upstream") {
            data class Case(val name: String, val isSentBefore: Boolean, val status: Int)
            withData(
                nameFn = { case: Case -> case.name },
                Case("it was not sent", isSentBefore = false, status = 503),
                Case("an upstream read it and closed the connection", isSentBefore = true, status = 502),
            ) { case ->
                val requests = AtomicInteger()
                val reads = RawServer { socket ->
                    socket.readRequest()
                    requests.incrementAndGet()
                }
                val closed = List(UNREACHABLE) { RawServer { }.also { it.close() }.address }
                // The first engine of the list is chosen first.
                val fixture = ForwardFixture(if (case.isSentBefore) listOf(reads.address) + closed else closed)
                val response = fixture.stream()
                eventually(3.seconds) { response.status shouldBe case.status }
                if (case.isSentBefore) requests.get() shouldBeGreaterThan 0
                fixture.close()
                reads.close()
            }
        }
    })
