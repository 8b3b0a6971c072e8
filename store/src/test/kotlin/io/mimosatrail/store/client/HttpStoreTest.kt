package io.mimosatrail.store.client

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private enum class Expected { NOT_DONE, UNCERTAIN, CONFLICT, WRITTEN }

private data class ResponseCase(val status: Int, val body: String, val expected: Expected)

private val put = StoreCommand.Put(StoreKey("a/b"), byteArrayOf(1, 2), StoreRevision(0), LeaseId(7))

/** Executes [command] against a server that responds so; returns the reply and the requests that were received. */
private suspend fun callServer(status: Int, body: String, command: StoreCommand): Pair<StoreReply, List<String>> {
    val requests = mutableListOf<String>()
    val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    server.createContext("/") { exchange ->
        requests +=
            "${exchange.requestMethod} ${exchange.requestURI} ${exchange.requestBody.readBytes().decodeToString()}"
        exchange.sendResponseHeaders(status, body.length.toLong())
        exchange.responseBody.use { it.write(body.encodeToByteArray()) }
    }
    server.start()
    try {
        return HttpStore("http://127.0.0.1:${server.address.port}", 20.seconds).use { it(command) } to requests
    } finally {
        server.stop(0)
    }
}

private fun StoreReply.kind() = when (this) {
    is StoreReply.NotDone -> Expected.NOT_DONE
    is StoreReply.Uncertain -> Expected.UNCERTAIN
    is StoreReply.Conflict -> Expected.CONFLICT
    else -> Expected.WRITTEN
}

class HttpStoreTest :
    FunSpec({
        context("the status and body of a response decide the outcome of a write") {
            withData(
                ResponseCase(200, """{"revision": 4}""", Expected.WRITTEN),
                ResponseCase(200, """{"revisi""", Expected.UNCERTAIN),
                ResponseCase(409, """{"error": "conflict", "entry": null}""", Expected.CONFLICT),
                ResponseCase(409, "", Expected.UNCERTAIN),
                ResponseCase(410, """{"error": "lease-ended"}""", Expected.NOT_DONE),
                ResponseCase(413, """{"error": "too-large"}""", Expected.NOT_DONE),
                ResponseCase(429, "", Expected.NOT_DONE),
                ResponseCase(500, "", Expected.UNCERTAIN),
                ResponseCase(503, """{"error": "down"}""", Expected.NOT_DONE),
                ResponseCase(504, "", Expected.UNCERTAIN),
            ) { case ->
                callServer(case.status, case.body, put).first.kind() shouldBe case.expected
            }
        }

        test("a write sends value, expected revision and lease") {
            callServer(200, """{"revision": 4}""", put).second shouldBe
                listOf("""PUT /v1/kv?key=a%2Fb {"value":"AQI=","expected":0,"lease":7}""")
        }

        test("a read returns the value, and renewing an ended lease is a conflict") {
            val body = """{"entry": {"key": "a/b", "value": "AQI=", "revision": 5, "createRevision": 3}}"""
            val value = callServer(200, body, StoreCommand.Get(StoreKey("a/b"))).first
            value.shouldBeInstanceOf<StoreReply.Value>()
            value.value?.value?.toList() shouldBe listOf<Byte>(1, 2)
            callServer(410, """{"error": "lease-ended"}""", StoreCommand.Renew(LeaseId(7))).first shouldBe
                StoreReply.Conflict(null)
        }

        test("a refused connection means that nothing was sent") {
            val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            HttpStore("http://127.0.0.1:$port").use { it(put) }.kind() shouldBe Expected.NOT_DONE
        }

        test("a write is uncertain if the connection closes after the request") {
            ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { server ->
                thread(isDaemon = true) {
                    server.accept().use { it.getInputStream().read(ByteArray(1_000)) }
                }
                HttpStore("http://127.0.0.1:${server.localPort}", 20.seconds).use { it(put) }.kind() shouldBe
                    Expected.UNCERTAIN
            }
        }

        test("a write is uncertain if no response arrives before the timeout") {
            ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { server ->
                HttpStore("http://127.0.0.1:${server.localPort}", 300.milliseconds).use { it(put) }.kind() shouldBe
                    Expected.UNCERTAIN
            }
        }
    })
