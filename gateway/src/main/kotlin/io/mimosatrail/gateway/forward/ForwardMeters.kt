package io.mimosatrail.gateway.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.mimosatrail.core.rank.Rank
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Metrics of forwarded requests. */
internal class ForwardMeters(private val registry: MeterRegistry) {
    private val firstByte = Timer.builder("mimosatrail.gateway.first.byte")
        .publishPercentileHistogram(false)
        .register(registry)

    /** Counts a response to a caller by route kind and status; status 0 is a response that was cut off. */
    fun onResponse(kind: String, status: Int) =
        registry.counter("mimosatrail.gateway.answers", "kind", kind, "status", status.toString()).increment()

    /** Counts a request to an upstream by how it ended. */
    fun onSendEnd(end: String) = registry.counter("mimosatrail.gateway.sends", "end", end).increment()

    /** Counts a request of [rank] that is sent to an upstream of a service with several ranks. */
    fun onRankedSend(rank: Rank) = registry.counter("mimosatrail.gateway.ranked.sends", "rank", label(rank)).increment()

    /** Records how long a request of a ranked service waited for a target, whether it got one or not. */
    fun onWaited(rank: Rank, elapsed: Duration) =
        registry.timer("mimosatrail.gateway.waiting.time", "rank", label(rank))
            .record(elapsed.inWholeMicroseconds, TimeUnit.MICROSECONDS)

    /** Counts a request of a ranked service that was refused instead of getting a target. */
    fun onWaitRefused(rank: Rank) =
        registry.counter("mimosatrail.gateway.waiting.refused", "rank", label(rank)).increment()

    /** Records the time from the receipt of a request to the first byte of its response. */
    fun onFirstByte(elapsed: Duration) = firstByte.record(elapsed.inWholeMicroseconds, TimeUnit.MICROSECONDS)

    private fun label(rank: Rank): String = if (rank.value in 0..MAX_LABELLED_RANK) rank.toString() else "other"

    private companion object {
        /** Operators may use any number as a priority; one label for all others bounds the number of time series. */
        const val MAX_LABELLED_RANK = 3
    }
}
