package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.PlainBalancer
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.path.LinkBudget
import io.mimosatrail.core.retry.RetryBudgets
import io.mimosatrail.core.stop.AnswerTimes
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.follow.RegisteredEntries
import io.mimosatrail.gateway.net.ConnectionPool
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.HeaderCodec
import kotlinx.coroutines.CoroutineScope

/** Dependencies that all forwarded requests of this process share. Confined to the event loop. */
internal class ForwardContext(
    val clock: Clock,
    val place: PlaceId,
    val headers: HeaderCodec,
    val pool: ConnectionPool,
    upstreams: UpstreamState,
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
    val quarantine = upstreams.quarantine
    val access = upstreams.access
    val balancer = PlainBalancer(traffic, place)
    val linkBudget = LinkBudget()
    val failedSearches = FailedSearchCache()
    val tickIntervals = TickIntervals(clock)

    /** How long the answers of each service to each kind of request take. */
    val answerTimes = AnswerTimes<Pair<ServiceId, RouteKind>>()

    /** When this entry closes its connections because of a planned stop; null while it is not stopping. */
    var stopsAt: Moment? = null

    /** Bytes of the answers that all requests together collect. */
    val bufferedBytes = BufferedBytes()
    val refusalWatch = RefusalWatch(
        registry,
        traffic,
        peerLoads,
        { share().entries },
        engines,
        upstreams.observations,
        access,
        clock,
        scope,
    )
    val crashWatch = CrashWatch(
        UpstreamProbe(engines, pool)::isUp,
        quarantine,
        clock,
        tickIntervals,
        scope,
        access::mayCall,
        registry::hasLeft,
    )
    val stallSearch = StallSearch(
        engines,
        registry,
        traffic,
        clock,
        tickIntervals,
        scope,
        access::mayCall,
        ::onEngineDown,
    )
    val stallWatch = StallWatch(
        registry,
        traffic,
        engines,
        inFlight::streamActivities,
        clock,
        tickIntervals,
        scope,
        access::mayCall,
        ::onEngineDown,
    )

    /** Called when this process itself has detected that an engine is down. */
    var onEngineDetectedDown: () -> Unit = {}

    init {
        engines.onAnswer = access::onControlAnswer
    }

    private fun onEngineDown(engine: InstanceId) {
        onEngineDetectedDown()
        inFlight.onEngineDown(engine)
    }
}
