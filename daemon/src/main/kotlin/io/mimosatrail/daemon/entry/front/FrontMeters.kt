package io.mimosatrail.daemon.entry.front

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.time.Clock
import io.mimosatrail.daemon.entry.stream.StreamEvent
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.onStart
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

private const val REQUESTS = "mimosatrail.requests"
private const val FIRST_TOKEN = "mimosatrail.first.token"
private const val INTER_TOKEN = "mimosatrail.inter.token"
private const val WHOLE = "whole"
private val firstTokenBounds = listOf(250, 500, 970, 2_000, 5_000).map { it.milliseconds.toJavaDuration() }
private val interTokenBounds = listOf(10, 20, 43, 100, 970).map { it.milliseconds.toJavaDuration() }

/** Metrics of the callers' interface, by service; the objectives of first and further tokens are bucket bounds. */
internal class FrontMeters(private val meters: MeterRegistry, private val clock: Clock) {
    /** Counts a request that was answered whole. */
    fun answered(service: ServiceId) = count(service.value, WHOLE)

    /** Counts a request that ended in [refusal]; [service] is null where it was refused before routing. */
    fun refused(service: ServiceId?, refusal: Refusal) {
        count(service?.value ?: "none", refusal.reason.name.lowercase().replace('_', '-'))
    }

    /** Passes [events] on and measures the time to the first token and between tokens. */
    fun timed(service: ServiceId, events: Flow<StreamEvent>): Flow<StreamEvent> {
        val first = timer(FIRST_TOKEN, service, firstTokenBounds)
        val between = timer(INTER_TOKEN, service, interTokenBounds)
        var last = clock()
        return events.onStart { last = clock() }.onEach { event ->
            when (event) {
                is StreamEvent.Token -> {
                    val now = clock()
                    (if (event.index == 0) first else between).record((now - last).toJavaDuration())
                    last = now
                }

                is StreamEvent.Finished -> answered(service)
                is StreamEvent.Failed -> refused(service, event.refusal)
            }
        }
    }

    private fun timer(name: String, service: ServiceId, bounds: List<java.time.Duration>): Timer = Timer.builder(
        name,
    ).tag("service", service.value).serviceLevelObjectives(*bounds.toTypedArray()).register(meters)

    private fun count(service: String, end: String) =
        meters.counter(REQUESTS, "service", service, "end", end).increment()
}
