package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.pipeline.Frame
import io.mimosatrail.core.pipeline.StageSnapshot
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Size of a message without its payload. */
private const val HEADER_BYTES = 200

/**
 * One direction of a connection between two nodes.
 *
 * A message arrives after its transfer time and the latency. Without faults, messages arrive in order.
 */
class VirtualLink(
    private val time: VirtualTime,
    private val speed: VirtualSpeed,
    private val faults: VirtualFaults,
    private val random: Random,
) {
    private var freeAt = Moment(0)

    /** Multiplier of transfer time and latency, raised to simulate a degraded link. */
    var slowdown = 1

    /** While true, messages are dropped although the connection stays open. */
    var silent = false

    fun send(message: StreamMessage?, arrive: () -> Unit) {
        val transfer = (bytesOf(message) / speed.bytesPerSecond).seconds * slowdown
        freeAt = maxOf(freeAt, time.now) + transfer
        if (silent || random.nextDouble() < faults.drop) return
        val arrival = freeAt + speed.latency * slowdown
        time.at(arrival + delay(faults.reorder), arrive)
        if (random.nextDouble() < faults.duplicate) time.at(arrival + delay(1.0), arrive)
    }

    private fun delay(probability: Double): Duration =
        if (random.nextDouble() < probability) faults.jitter * random.nextDouble() else Duration.ZERO

    private fun bytesOf(message: StreamMessage?): Long = when (message) {
        is Frame -> HEADER_BYTES + message.count.toLong() * perPosition(message) + restoredBytes(message)
        is StageSnapshot -> HEADER_BYTES + message.snapshot.positions.toLong() * speed.kvBytes
        else -> HEADER_BYTES.toLong()
    }

    private fun perPosition(frame: Frame) = if (frame.nextLayer == 0) Int.SIZE_BYTES else speed.positionBytes

    private fun restoredBytes(frame: Frame): Long {
        val restore = frame.restore ?: return 0
        val positions = frame.position - restore.from
        return positions.toLong() * perPosition(frame) + (restore.snapshot?.positions ?: 0).toLong() * speed.kvBytes
    }
}
