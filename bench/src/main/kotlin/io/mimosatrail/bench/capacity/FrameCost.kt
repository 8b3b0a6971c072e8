package io.mimosatrail.bench.capacity

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.pipeline.Frame
import io.mimosatrail.core.pipeline.SampledToken
import io.mimosatrail.core.pipeline.StageLoad
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.protocol.Describe
import io.mimosatrail.protocol.Described
import io.mimosatrail.protocol.Envelope
import io.mimosatrail.protocol.PeerCodec
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.StreamEnvelope

private const val LENGTH_PREFIX_BYTES = 4
private val stageCounts = listOf(1, 2, 3, 4, 6, 8)

/** Size and coding time of the messages that carry tokens and activations, by number of stages in a chain. */
internal fun frameSeries(quick: Boolean): List<Series> {
    val times = if (quick) 2_000 else 20_000
    return listOf(
        Series("token message size", "bytes", "stage", stageCounts) { wireBytes(token(it)) },
        Series("token message size with loads", "bytes", "stage", stageCounts) { wireBytes(tokenWithLoads(it)) },
        Series("token message coding", "us", "stage", stageCounts, WARM_UPS) { codingMicros(token(it), times) },
        Series("frame size without activations", "bytes", "stage", stageCounts) { wireBytes(frame(it, 0)) },
        Series("frame coding", "us", "KiB of activations", listOf(0, 4, 8, 16, 32), WARM_UPS) {
            codingMicros(frame(2, it * 1_024), times)
        },
    )
}

/** Size in bytes of a describe request and its answer together. */
internal fun describeBytes(): Double = wireBytes(Describe) + wireBytes(Described(description(0, 1)))

private fun token(stages: Int): PeerMessage =
    message(SampledToken(request, Generation(0), 100, 65, List(stages, ::layers)))

private fun tokenWithLoads(stages: Int): PeerMessage {
    val load = UpstreamLoad(waiting = 3, running = 20, meanStepMicros = 14_000)
    val loads = List(stages) { StageLoad(InstanceId("sidecar-ahmedabad-1-$it"), load) }
    return message(SampledToken(request, Generation(0), 100, 65, List(stages, ::layers), loads = loads))
}

private fun frame(stages: Int, bytes: Int): PeerMessage {
    val trail = List(stages, ::layers)
    return message(Frame(request, Generation(0), 100, trail.last().end, 300, 1, ByteArray(bytes), trail))
}

private val request = RequestId("entry-ahmedabad-1-1y2p0ij32e8e7-1a2b")

private fun message(message: StreamMessage) = StreamEnvelope(message)

private fun wireBytes(message: PeerMessage): Double =
    (PeerCodec.encode(Envelope(message, ConfigRevision(12_345), 1_000)).size + LENGTH_PREFIX_BYTES).toDouble()

private fun codingMicros(message: PeerMessage, times: Int): Double =
    threadMicros(times) { PeerCodec.decode(PeerCodec.encode(Envelope(message, ConfigRevision(12_345)))) }
