package io.mimosatrail.protocol

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.WithDataTestName
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.pipeline.StageCancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun node(
    name: String,
    vararg secrets: String = arrayOf("secret"),
    maxFrameBytes: Int = 100_000,
    handler: PeerHandler = { _, _ -> null },
) = PeerNode(
    PeerSettings(InstanceId(name), "127.0.0.1", 0, secrets.toList(), maxFrameBytes = maxFrameBytes),
    revision = { ConfigRevision(7) },
    handler = handler,
)

private fun framed(size: Int, bytes: ByteArray): ByteArray {
    val out = ByteArrayOutputStream()
    DataOutputStream(out).apply {
        writeInt(size)
        write(bytes)
    }
    return out.toByteArray()
}

private fun helloOfVersion(version: Int): ByteArray {
    val hello = Hello("stranger", version, ByteArray(16))
    val bytes = PeerCodec.encode(Envelope(hello, ConfigRevision(0)))
    return framed(bytes.size, bytes)
}

private class InvalidBytes(val name: String, val bytes: ByteArray) : WithDataTestName {
    override fun dataTestName() = name
}

class PeerNodeTest :
    FunSpec({
        test("messages arrive in order and a request gets its answer") {
            val received = Channel<Int>(1_000)
            val server = node("server") { _, message ->
                when (message) {
                    is StreamEnvelope -> received.send(message.message.generation.value).let { null }
                    is RevisionNotice -> RevisionNotice(message.revision.next())
                    else -> null
                }
            }
            val client = node("client")
            val address = server.listen()
            repeat(500) { client.send(address, StreamEnvelope(StageCancel(RequestId("r"), Generation(it)))) }
            (0 until 500).map { received.receive() } shouldBe (0 until 500).toList()
            client.ask(address, RevisionNotice(ConfigRevision(4)), 5.seconds).get() shouldBe
                RevisionNotice(ConfigRevision(5))
            client.close()
            server.close()
        }

        test("a request without an answer is reported as unanswered, not as unreachable") {
            val server = node("server") { _, _ ->
                delay(60.seconds)
                null
            }
            val client = node("client")
            val address = server.listen()
            val error = client.ask(address, Describe, 100.milliseconds).getError()
            error.shouldBeInstanceOf<PeerError.NoAnswer>()
            client.close()
            server.close()
        }

        test("a peer that does not listen is reported as unreachable") {
            val server = node("server")
            val address = server.listen()
            server.close()
            val client = node("client")
            client.ask(address, Describe, 5.seconds).getError().shouldBeInstanceOf<PeerError.Unreachable>()
            client.close()
        }

        context("a peer is accepted if its first secret is among the secrets of the other side") {
            data class Case(val client: List<String>, val server: List<String>, val accepted: Boolean)
            withData(
                Case(listOf("a"), listOf("a"), true),
                Case(listOf("b", "a"), listOf("a", "b"), true),
                Case(listOf("b"), listOf("a"), false),
            ) { case ->
                val server = node("server", *case.server.toTypedArray()) { _, message -> message }
                val client = node("client", *case.client.toTypedArray())
                val address = server.listen()
                val reply = client.ask(address, Describe, 5.seconds)
                (reply.get() == Describe) shouldBe case.accepted
                client.close()
                server.close()
            }
        }

        context("invalid bytes close the connection and the node continues to serve others") {
            withData(
                InvalidBytes("garbage", framed(5, byteArrayOf(1, 2, 3, 4, 5))),
                InvalidBytes("oversized", framed(Int.MAX_VALUE, ByteArray(4))),
                InvalidBytes("negative size", framed(-1, ByteArray(4))),
                InvalidBytes("truncated", framed(50, helloOfVersion(1).drop(4).take(50).toByteArray())),
                InvalidBytes("other version", helloOfVersion(99)),
            ) { case ->
                val server = node("server") { _, message -> message }
                val address = server.listen()
                Socket(address.host, address.port).use { socket ->
                    socket.soTimeout = 10_000
                    socket.getOutputStream().write(case.bytes)
                    socket.shutdownOutput()
                    socket.getInputStream().readAllBytes()
                }
                val client = node("client")
                client.ask(address, Describe, 5.seconds).get() shouldBe Describe
                client.close()
                server.close()
            }
        }
    })
