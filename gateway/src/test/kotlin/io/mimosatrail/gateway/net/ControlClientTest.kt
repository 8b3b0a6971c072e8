package io.mimosatrail.gateway.net

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.net.HttpResult
import io.mimosatrail.core.time.systemClock
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private data class EndlessAnswer(val name: String, val start: String, val piece: String, val detail: String)

class ControlClientTest :
    FunSpec({
        val group = NioEventLoopGroup(1)
        afterSpec { group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS) }

        // Guards against a process that runs out of memory on an answer without end.
        context("a call whose answer does not end fails long before its timeout") {
            withData(
                nameFn = { it.name },
                EndlessAnswer("body", "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(64_000), "longer than"),
                EndlessAnswer("head", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n", "no answer"),
            ) { answer ->
                RawServer { socket ->
                    socket.readRequest()
                    socket.send(answer.start)
                    socket.sendEndlessly(answer.piece)
                }.use { server ->
                    val loop = group.next()
                    val client = ControlClient(ConnectionPool(loop, systemClock), loop)
                    val result = withContext(loop.asCoroutineDispatcher()) {
                        client.send(ControlCall(server.address, "GET", "/report"), 30.seconds)
                    }
                    result.shouldBeInstanceOf<HttpResult.Lost>().detail shouldContain answer.detail
                }
            }
        }

        // Guards against an order that counts as refused, or an upstream as down, since an earlier refusal came late.
        test("a call does not take the answer to another request, and its connection is not used again") {
            val answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            val refusal = "HTTP/1.1 503 Busy\r\nRequest: 9c41\r\nContent-Length: 0\r\n\r\n"
            var connections = 0
            RawServer { socket ->
                val isFirst = ++connections == 1
                socket.readRequest()
                socket.send(if (isFirst) refusal + answer else answer)
                socket.readRequest()
            }.use { server ->
                val loop = group.next()
                val client = ControlClient(ConnectionPool(loop, systemClock), loop)
                val call = ControlCall(server.address, "POST", "/order", isAnswer = { "request" !in it })
                val results = withContext(loop.asCoroutineDispatcher()) { List(2) { client.send(call, 2.seconds) } }
                results[0].shouldBeInstanceOf<HttpResult.Lost>()
                results[1].shouldBeInstanceOf<HttpResult.Answered>().status shouldBe 200
            }
        }
    })
