package io.mimosatrail.bench.capacity

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.pipeline.SampledToken
import io.mimosatrail.core.pipeline.StreamSettings
import io.mimosatrail.core.pipeline.StreamSpec
import io.mimosatrail.core.pipeline.StreamTable
import io.mimosatrail.core.pipeline.observedForecast
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds

private const val STAGES = 3
private const val PROMPT_TOKENS = 200
private const val TOKENS_PER_STREAM = 40
private val streamCounts = listOf(10, 100, 500, 1_000, 2_000)

/** Costs of an entry's stream table by number of open streams. */
internal fun streamSeries(): List<Series> = listOf(
    Series("entry decisions per token", "us", "open stream", streamCounts, WARM_UPS) { tokenMicros(it) },
    Series("entry stream check", "us per tick", "open stream", streamCounts, WARM_UPS) { tickMicros(it) },
    Series("entry memory", "bytes", "open stream", streamCounts) { heapBytes { tableWithStreams(it) } },
)

private fun tableWithStreams(streams: Int): StreamTable {
    val table = StreamTable(
        self = InstanceId("entry-1"),
        address = address(0),
        settings = StreamSettings(),
        chooseChain = { chain(STAGES) },
        chooseStage = { _, _ -> null },
        forecast = observedForecast,
        onViolation = { error("invariant violated: $it") },
    )
    repeat(streams) { table.open(spec(it), Moment(0)) }
    return table
}

private fun spec(number: Int) =
    StreamSpec(RequestId("request-$number"), pool(), List(PROMPT_TOKENS) { it }, 1_000, 10, Moment(0) + 1.hours)

private fun tokenMicros(streams: Int): Double {
    val table = tableWithStreams(streams)
    val trail = List(STAGES, ::layers)
    val requests = List(streams) { RequestId("request-$it") }
    return threadMicros(streams * TOKENS_PER_STREAM) { step ->
        val token = SampledToken(requests[step % streams], Generation(0), step / streams, 65, trail)
        table.onMessage(token, Moment(0) + step.microseconds)
    }
}

private fun tickMicros(streams: Int): Double {
    val table = tableWithStreams(streams)
    return threadMicros(200) { table.onTick(Moment(0) + it.microseconds) }
}
