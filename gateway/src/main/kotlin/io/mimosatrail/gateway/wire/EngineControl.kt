package io.mimosatrail.gateway.wire

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.registry.UpstreamRecord
import kotlin.time.Duration

/** Control interface of the model engines. All calls suspend until an answer or a time limit. */
interface EngineControl {
    /** What the engine says of itself, or null where it does not answer. */
    suspend fun report(engine: UpstreamRecord): EngineReport?

    /** True where the engine gives any answer within [limit]. */
    suspend fun isAnswering(engine: UpstreamRecord, limit: Duration): Boolean

    /** True where the upstream says on [healthPath] that it is leaving or not healthy. */
    suspend fun isLeaving(upstream: UpstreamRecord, healthPath: String): Boolean

    /**
     * Orders the engine to hold [layers], if [orders] is still the number of orders it has accepted. An order without
     * an answer may take effect later.
     */
    suspend fun place(engine: UpstreamRecord, layers: LayerRange, orders: Long): OrderOutcome

    /**
     * Orders [first], the first engine of a stream under way, to lead it over [path] from now on. The first part of the
     * path must be the one the stream has. Engines that are new on the path read the tokens so far.
     */
    suspend fun repath(first: UpstreamRecord, request: RequestId, path: List<PathSegment>): OrderOutcome
}

/**
 * State of an engine. [orders] counts the orders it has accepted since its start. [slowness] above 1 means that its
 * passes take that many times as long as usual. [stalled] are engines that its streams wait for.
 */
data class EngineReport(
    val layers: LayerRange?,
    val isBusy: Boolean,
    val orders: Long,
    val slowness: Double,
    val stalled: List<StalledEngine>,
)

/** An engine that streams wait for in vain. */
data class StalledEngine(val id: InstanceId?, val address: PeerAddress?)

/** How an order ended. */
sealed interface OrderOutcome {
    /** The engine carries the order out, or holds that state already. */
    data object Accepted : OrderOutcome

    /** The engine did not take the order. */
    data class Refused(val status: Int) : OrderOutcome

    /** No answer came; the order may take effect later. */
    data class Unknown(val detail: String) : OrderOutcome
}
