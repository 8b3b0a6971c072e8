package io.mimosatrail.gateway.wire

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Control interface of the model engines. All functions suspend until the engine responds or a time limit passes. */
interface EngineControl {
    /** Called for each answer with the upstream, what it says about itself, and the time at which the call was sent. */
    var onAnswer: (UpstreamRecord, UpstreamNotice, Moment) -> Unit

    /** The state that the engine reports, or null if it does not respond or its report cannot be read. */
    suspend fun report(engine: UpstreamRecord): EngineReport?

    /** True if the engine gives any response within [limit]. */
    suspend fun isResponsive(engine: UpstreamRecord, limit: Duration): Boolean

    /** True if the health check of the upstream at [healthPath] reports that it is draining or unhealthy. */
    suspend fun isUnavailable(upstream: UpstreamRecord, healthPath: String): Boolean

    /**
     * Orders the engine to hold [layers]. The engine refuses unless [orders] equals the number of orders that it has
     * accepted so far. An order without a response may still take effect later.
     */
    suspend fun assignLayers(engine: UpstreamRecord, layers: LayerRange, orders: Long): OrderOutcome

    /**
     * Orders [first], the first engine of an open stream, to send the stream over [path] from now on. The first segment
     * of the path must be the stream's current one. Engines that join the path process all tokens so far.
     */
    suspend fun redirectStream(first: UpstreamRecord, request: RequestId, path: List<PathSegment>): OrderOutcome
}

/**
 * State of an engine. [layers] is null if it holds none. [orders] is the number of orders that it has accepted since
 * its start. [slowness] is the factor by which its steps take longer than normal; 1 is normal. [stalled] are the
 * engines that its streams wait for.
 */
data class EngineReport(
    val layers: LayerRange?,
    val isBusy: Boolean,
    val orders: Long,
    val slowness: Double,
    val stalled: List<StalledEngine>,
)

/** An engine that streams wait for and that does not respond. Either [id] or [address] may be unknown. */
data class StalledEngine(val id: InstanceId?, val address: PeerAddress?)

/** Result of an order to an engine. */
sealed interface OrderOutcome {
    /** The engine carries out the order, or is already in the ordered state. */
    data object Accepted : OrderOutcome

    /** The engine rejected the order with HTTP [status]. */
    data class Refused(val status: Int) : OrderOutcome

    /** No response was received; the order may still take effect later. */
    data class Unknown(val detail: String) : OrderOutcome
}
