package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.PlainBalancer
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.path.PipeBudget
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.retry.RetryBudgets
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.follow.EntryShare
import io.mimosatrail.gateway.gossip.WordBoard
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
    val registry: UpstreamRegistry,
    val traffic: UpstreamTraffic,
    val peerLoads: PeerLoads,
    val words: WordBoard,
    val retries: RetryBudgets,
    val engines: EngineControl,
    val share: () -> EntryShare,
    val inFlight: InFlightTable,
    val meters: ForwardMeters,
    val scope: CoroutineScope,
) {
    val balancer = PlainBalancer(traffic, place)
    val pipes = PipeBudget()
    val refusals = RefusalWatch(
        registry,
        traffic,
        peerLoads,
        { share().entries },
        engines,
        words,
        clock,
        scope,
    )
    val stalls = StallSearch(engines, traffic, clock, scope, inFlight::onEngineDown)
}
