package io.mimosatrail.gateway.net

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
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
    })
