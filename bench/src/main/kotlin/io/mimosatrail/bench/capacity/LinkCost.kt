package io.mimosatrail.bench.capacity

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.pipeline.SampledToken
import io.mimosatrail.protocol.PeerNode
import io.mimosatrail.protocol.PeerSettings
import io.mimosatrail.protocol.StreamEnvelope
import kotlinx.coroutines.runBlocking
import java.util.concurrent.Semaphore

private const val SECRET = "capacity-bench-secret"
private const val MAX_MESSAGES_IN_FLIGHT = 256

/** Processor time of messages over a loopback connection: both ends together, including encoding and decoding. */
internal fun linkSeries(quick: Boolean): List<Series> {
    val scale = if (quick) 1 else 5
    val counts = listOf(5_000, 10_000, 20_000, 40_000).map { it * scale }
    return listOf(Series("token messages over a link", "us", "message", counts) { linkMicros(it) })
}

private fun linkMicros(messages: Int): Double = runBlocking {
    val window = Semaphore(MAX_MESSAGES_IN_FLIGHT)
    val received = Semaphore(0)
    val server = node("server") {
        window.release()
        received.release()
    }
    val client = node("client") { }
    val address = server.listen()
    val message = StreamEnvelope(SampledToken(RequestId("request"), Generation(0), 1, 65, List(3, ::layers)))
    client.send(address, message)
    received.acquire()
    val before = processMicros()
    repeat(messages) {
        window.acquire()
        client.send(address, message)
    }
    received.acquire(messages)
    val used = processMicros() - before
    client.close()
    server.close()
    used
}

private fun node(name: String, onMessage: () -> Unit) =
    PeerNode(PeerSettings(InstanceId(name), "127.0.0.1", 0, listOf(SECRET)), { ConfigRevision(1) }) { _, _ ->
        onMessage()
        null
    }
