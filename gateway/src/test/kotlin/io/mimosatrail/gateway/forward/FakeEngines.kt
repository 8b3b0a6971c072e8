package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.EngineReport
import io.mimosatrail.gateway.wire.OrderOutcome
import kotlinx.coroutines.yield
import kotlin.time.Duration

/** Engines that give the report of [answer]; one without a report gives no sign of life. */
internal class FakeEngines(private val answer: (InstanceId) -> EngineReport?) : EngineControl {
    /** Reports asked for. */
    var reports = 0
        private set

    /** Engines that were asked for a sign of life. */
    val asked = mutableListOf<InstanceId>()

    override suspend fun report(engine: UpstreamRecord): EngineReport? {
        reports++
        yield()
        return answer(engine.id)
    }

    override suspend fun isAnswering(engine: UpstreamRecord, limit: Duration): Boolean {
        asked += engine.id
        yield()
        return answer(engine.id) != null
    }

    override suspend fun isLeaving(upstream: UpstreamRecord, healthPath: String) = false

    override suspend fun place(engine: UpstreamRecord, layers: LayerRange, orders: Long) = OrderOutcome.Accepted

    override suspend fun repath(first: UpstreamRecord, request: RequestId, path: List<PathSegment>) =
        OrderOutcome.Accepted
}

/** An engine as the registry shows it. */
internal fun engineRecord(id: String, layers: LayerRange = LayerRange(0, 80)) = UpstreamRecord(
    id = InstanceId(id),
    service = ServiceId("model"),
    address = PeerAddress("$id.example", 80),
    place = PlaceId("umea"),
    kind = AcceleratorKind("l4"),
    slots = 10,
    isDraining = false,
    startedMillis = 1,
    layers = layers,
)
