package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.PlainBalancer
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.path.LinkBudget
import io.mimosatrail.core.retry.RetryBudgets
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.follow.RegisteredEntries
import io.mimosatrail.gateway.net.ConnectionPool
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.HeaderDialect
import kotlinx.coroutines.CoroutineScope

/** What forwarding a request needs of its process. */
internal class ForwardContext(
    val clock: Clock,
    val place: PlaceId,
    val headers: HeaderDialect,
    val pool: ConnectionPool,
    upstreams: Upstreams,
    val retries: RetryBudgets,
    val engines: EngineControl,
    val share: () -> RegisteredEntries,
    val inFlight: InFlightTable,
    val meters: ForwardMeters,
    val scope: CoroutineScope,
) {
    val registry = upstreams.registry
    val traffic = upstreams.traffic
    val peerLoads = upstreams.peerLoads
    val balancer = PlainBalancer(traffic, place)
    val pipes = LinkBudget()
    val room = RoomMemory()
    val refusals = RefusalWatch(
        registry,
        traffic,
        peerLoads,
        { share().entries },
        engines,
        upstreams.words,
        clock,
        scope,
    )
    val stalls = StallSearch(engines, registry, traffic, clock, scope, ::onEngineDown)
    val stallWatch = StallWatch(registry, traffic, engines, inFlight::signs, clock, scope, ::onEngineDown)

    /** Called when this process has found an engine to be down. */
    var onFoundDown: () -> Unit = {}

    private fun onEngineDown(engine: InstanceId) {
        onFoundDown()
        inFlight.onEngineDown(engine)
    }
}
