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
private const val END_ANSWERED = "whole"
private val firstTokenBounds = listOf(250, 500, 970, 2_000, 5_000).map { it.milliseconds.toJavaDuration() }
private val interTokenBounds = listOf(10, 20, 43, 100, 970).map { it.milliseconds.toJavaDuration() }

/**
 * Metrics of the callers' interface, per service.
 *
 * The histogram buckets include the objectives for the time to the first token and for the time between tokens.
 */
internal class FrontMeters(private val meters: MeterRegistry, private val clock: Clock) {
    /** Counts a request that was answered completely. */
    fun onAnswered(service: ServiceId) = count(service.value, END_ANSWERED)

    /** Counts a request that ended with [refusal]. [service] is null if the entry refused to accept it. */
    fun onRefused(service: ServiceId?, refusal: Refusal) {
        count(service?.value ?: "none", refusal.reason.name.lowercase().replace('_', '-'))
    }

    /** Forwards [events] unchanged. Records the times to the first token and between tokens, and counts the end. */
    fun measure(service: ServiceId, events: Flow<StreamEvent>): Flow<StreamEvent> {
        val toFirstToken = timer(FIRST_TOKEN, service, firstTokenBounds)
        val betweenTokens = timer(INTER_TOKEN, service, interTokenBounds)
        var lastEventAt = clock()
        return events.onStart { lastEventAt = clock() }.onEach { event ->
            when (event) {
                is StreamEvent.Token -> {
                    val now = clock()
                    (if (event.index == 0) toFirstToken else betweenTokens).record((now - lastEventAt).toJavaDuration())
                    lastEventAt = now
                }

                is StreamEvent.Finished -> onAnswered(service)
                is StreamEvent.Failed -> onRefused(service, event.refusal)
            }
        }
    }

    private fun timer(name: String, service: ServiceId, bounds: List<java.time.Duration>): Timer = Timer.builder(
        name,
    ).tag("service", service.value).serviceLevelObjectives(*bounds.toTypedArray()).register(meters)

    private fun count(service: String, end: String) =
        meters.counter(REQUESTS, "service", service, "end", end).increment()
}
