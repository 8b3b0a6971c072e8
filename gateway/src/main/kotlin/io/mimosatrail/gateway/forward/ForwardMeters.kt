package io.mimosatrail.gateway.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Counters and latency of forwarded requests. */
internal class ForwardMeters(private val registry: MeterRegistry) {
    private val firstByte = Timer.builder("mimosatrail.gateway.first.byte")
        .publishPercentileHistogram(false)
        .register(registry)

    /** Counts an answer by its status, 0 for a connection that was cut. */
    fun onAnswer(kind: String, status: Int) =
        registry.counter("mimosatrail.gateway.answers", "kind", kind, "status", status.toString()).increment()

    /** Counts a send by how it ended. */
    fun onSendEnd(end: String) = registry.counter("mimosatrail.gateway.sends", "end", end).increment()

    /** Notes the time from a request to the first byte of its answer. */
    fun onFirstByte(elapsed: Duration) = firstByte.record(elapsed.inWholeMicroseconds, TimeUnit.MICROSECONDS)
}
