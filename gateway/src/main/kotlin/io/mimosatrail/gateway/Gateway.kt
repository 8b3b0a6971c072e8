package io.mimosatrail.gateway

import io.micrometer.core.instrument.MeterRegistry
import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.front.FrontLimits
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.quarantine.ContentQuarantine
import io.mimosatrail.core.registry.StorePollIntervals
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.retry.RetryBudgets
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.gateway.duty.PlacementDuty
import io.mimosatrail.gateway.follow.ConfigurationFollower
import io.mimosatrail.gateway.follow.EntryMembership
import io.mimosatrail.gateway.follow.PeerConfigurations
import io.mimosatrail.gateway.follow.QuarantineKeeper
import io.mimosatrail.gateway.follow.RegistryFollower
import io.mimosatrail.gateway.follow.notingFailures
import io.mimosatrail.gateway.forward.ForwardContext
import io.mimosatrail.gateway.forward.ForwardMeters
import io.mimosatrail.gateway.forward.InFlightTable
import io.mimosatrail.gateway.forward.RequestRouter
import io.mimosatrail.gateway.forward.StallWatch
import io.mimosatrail.gateway.forward.TickIntervals
import io.mimosatrail.gateway.forward.UpstreamAccess
import io.mimosatrail.gateway.forward.UpstreamState
import io.mimosatrail.gateway.front.Caller
import io.mimosatrail.gateway.front.FrontServer
import io.mimosatrail.gateway.gossip.LoadGossip
import io.mimosatrail.gateway.gossip.LoadMessage
import io.mimosatrail.gateway.gossip.UpstreamObservations
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.log.logFailure
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.net.ConnectionPool
import io.mimosatrail.gateway.net.ControlClient
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One entry: accepts HTTP requests from callers and forwards them to upstreams. All state is confined to one event
 * loop, so no locks are needed. [scrape] returns the metrics as text for the `/metrics` page.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val meters: MeterRegistry,
    private val scrape: () -> String,
    makePorts: PortsFactory,
) {
    private val clock: Clock = systemClock
    private val createdAt = clock()
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("gateway", true))
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + failureHandler)
    private val timers = TimerService(::logFailure)
    private val pool = ConnectionPool(loop, clock)
    private val ports = makePorts(ControlClient(pool, loop))
    private val registry = UpstreamRegistry(settings.heartbeat)
    private val traffic = UpstreamTraffic()
    private val peerLoads = PeerLoads()
    private val inFlight = InFlightTable()
    private val observations = UpstreamObservations(registry, traffic, clock)
    private val store = ports.store.notingFailures { onStoreFailure() }
    private val membership = EntryMembership(store, ports.timelines, settings.instance, settings.gossip, clock)
    private val quarantine = ContentQuarantine { LoadGossip.replyTime(membership.registered.peers.size) }
    private val access =
        UpstreamAccess(settings.instance, { membership.registered }, registry, observations, clock)
    private val upstreams = UpstreamState(registry, traffic, peerLoads, observations, quarantine, access)
    private val pollIntervals = StorePollIntervals(settings.drainNotice, settings.configurationBound)
    private val configurationFollower = ConfigurationFollower(
        ports.store,
        ports.timelines,
        ports.configurationKey,
        ports.decodeConfiguration,
        pollIntervals.watchWait,
        pollIntervals.rereadPause,
        onChange = { logReadiness() },
    )
    private val peerConfigurations = PeerConfigurations(clock)
    private val registryFollower = RegistryFollower(
        store,
        ports.timelines,
        ports.upstreamPrefix,
        ports.decodeUpstream,
        registry,
        clock,
        settings.instance,
        registered = { membership.registered },
        pollIntervals,
        onChange = {
            traffic.onRegistry(it)
            access.onRegistry(it)
            logReadiness()
        },
    )
    private val duty = PlacementDuty(
        registry = registry,
        traffic = traffic,
        engines = ports.engines,
        configuration = { configurationFollower.current },
        isHolder = { membership.isDutyHolder },
        confirmHolder = membership::confirmDuty,
        settings = settings.placement,
        observations = observations,
        mayCall = access::mayCall,
        clock = clock,
        scope = scope,
    )
    private val context = ForwardContext(
        clock = clock,
        place = settings.place,
        headers = ports.headers,
        pool = pool,
        upstreams = upstreams,
        retries = RetryBudgets(settings.retryRatio, settings.retrySlack, settings.retryWindow) {
            membership.registered.entries
        },
        engines = ports.engines,
        share = { membership.registered },
        inFlight = inFlight,
        meters = ForwardMeters(meters),
        scope = scope,
    )
    private val gossip = LoadGossip(
        self = settings.instance,
        upstreams = upstreams,
        peers = { membership.registered.peers },
        dutyTerm = membership::dutyTerm,
        configuration = { configurationFollower.current?.version },
        listing = registryFollower::report,
        onReportedDown = inFlight::onEngineDown,
        onPeerMessage = ::onPeerMessage,
        loop = loop,
        clock = clock,
    )
    private val quarantineKeeper = QuarantineKeeper(ports.store, quarantine, clock)
    private var isStopping = false
    private var isRefusing = false
    private var wasReady = false
    private val router = RequestRouter(
        context = context,
        configuration = { configurationFollower.current },
        isStateLoaded = { configurationFollower.current != null && registry.isLoaded },
        isOutdated = peerConfigurations::isNewer,
        isStopping = { isRefusing },
    )
    private val front = FrontServer(group, clock, ::limits, ::wasLate, ::isOutdated, router::serve)
    private val ready = FrontServer(group, clock, ::limits, serve = ::serveReady)

    /**
     * Starts listening and reading the store. If the front address is already bound, [bound] is its socket. Throws if
     * an address cannot be bound.
     */
    fun start(bound: ServerSocketChannel? = null) {
        if (bound != null) front.listen(bound) else front.listen(settings.front)
        ready.listen(settings.ready)
        gossip.listen(settings.gossip)
        timers.every("load gossip", LoadGossip.PERIOD, gossip::send)
        context.onEngineDetectedDown = { gossip.send(clock()) }
        timers.every("event loop", StallWatch.PERIOD, EventLoopMonitor(inFlight::size)::tick)
        timers.every("stalls", StallWatch.PERIOD, context.stallWatch::tick)
        timers.every("quarantine", QUARANTINE_TICK) { context.crashWatch.tick(it, quarantineKeeper::save) }
        timers.every("deadlines", DEADLINE_TICK) { inFlight.tick(it) }
        timers.every("early requests", DEADLINE_TICK) { router.tick(it) }
        timers.every("idle connections", IDLE_TICK) { closeIdle() }
        loop.scheduleAtFixedRate(
            ::advance,
            0,
            TickIntervals.PERIOD.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        ports.timelines.onRestored(::onStoreRestored)
        scope.launchSupervised("configuration", configurationFollower::run)
        scope.launchSupervised("registry", registryFollower::run)
        scope.launchSupervised("membership", membership::run)
        scope.launchSupervised("placement", duty::run)
        scope.launchSupervised("quarantine", quarantineKeeper::run)
        logEvent("gateway", "started", "settings" to settings)
    }

    /**
     * Performs a planned stop: turns readiness off, refuses new requests after [NOT_READY_NOTICE], and waits until all
     * that were read are answered. Returns within the grace period; the process may exit then. A second call does
     * nothing.
     */
    fun stop() {
        if (loop.isShuttingDown) return
        val startedAt = clock()
        onLoop {
            isStopping = true
            front.isStopping = true
            context.stopsAt = startedAt + settings.grace - STOP_MARGIN - LAST_RESPONSES_TIME
            logEvent("gateway", "stopping", "in-flight" to front.openRequests)
        }
        while (clock() - startedAt < settings.grace - STOP_MARGIN) {
            val waited = clock() - startedAt
            if (waited >= NOT_READY_NOTICE) onLoop { isRefusing = true }
            if (waited >= settings.grace - STOP_MARGIN - LAST_RESPONSES_TIME) onLoop { inFlight.onStop() }
            if (waited >= NOT_READY_NOTICE && onLoop { isDrained() }) break
            Thread.sleep(STOP_POLL.inWholeMilliseconds)
        }
        logEvent("gateway", "stopped", "cut" to onLoop { front.openRequests })
        scope.cancel()
        // Requests that are read in the last turn of the event loop are refused before it closes the connections.
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).await(SHUTDOWN_MILLIS)
    }

    private fun isDrained(): Boolean = front.openRequests == 0 && !front.isClosingConnections

    /** A timer would not do for the tick intervals: it skips a tick that comes a little early. */
    private fun advance() {
        val now = clock()
        context.tickIntervals.tick(now)
        timers.advance(now)
    }

    private fun onPeerMessage(message: LoadMessage) {
        membership.onPeerMessage(message.from, message.dutyPosition)
        message.configuration?.let(::onPeerConfiguration)
        message.listing?.let(registryFollower::onReport)
    }

    private fun onPeerConfiguration(version: Long) {
        peerConfigurations.onReport(version)
        val current = configurationFollower.current ?: return
        if (peerConfigurations.isNewer(current.version)) configurationFollower.readAgain()
    }

    /** A connection to the store that is silent may be that of the watch too. */
    private fun onStoreFailure() = configurationFollower.readAgain()

    private fun onStoreRestored(timeline: StoreTimeline) {
        logProblem("store", "restored", "timeline" to timeline)
        registry.onRestored()
        registryFollower.onRestored()
        membership.onRestored()
        quarantineKeeper.onRestored()
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    private fun limits(): FrontLimits? = configurationFollower.current?.limits

    private fun isOutdated(): Boolean =
        configurationFollower.current?.let { peerConfigurations.isNewer(it.version) } ?: false

    /** True if callers may have left unnoticed, also while this process was being started. */
    private fun wasLate(): Boolean {
        val now = clock()
        return now - createdAt < START_TIME || context.tickIntervals.longest(now - LATE_MEMORY) > LATE_TICK
    }

    private fun isReady(): Boolean =
        !isStopping && configurationFollower.current != null && registry.all.any { !it.isDraining }

    private fun logReadiness() {
        val isReady = isReady()
        if (isReady != wasReady) logEvent("gateway", if (isReady) "ready" else "not-ready")
        wasReady = isReady
    }

    private fun closeIdle() {
        front.closeIdle()
        pool.closeIdle { key -> key.upstream == null || registry[key.upstream]?.address == key.address }
    }

    private fun serveReady(caller: Caller) {
        val isMetrics = caller.request.uri().startsWith(METRICS_PATH)
        val status = if (isMetrics || isReady()) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        val body = if (isMetrics) {
            scrape()
        } else if (isReady()) {
            "ready\n"
        } else {
            "not ready\n"
        }
        val headers = DefaultHttpHeaders(false).add("content-type", "text/plain; charset=utf-8")
        caller.respond(status, headers, Unpooled.wrappedBuffer(body.toByteArray()))
    }

    private companion object {
        const val METRICS_PATH = "/metrics"

        /** Deadlines may be exceeded by up to this time. */
        val DEADLINE_TICK = 40.milliseconds
        val IDLE_TICK = 1.seconds
        val QUARANTINE_TICK = 100.milliseconds

        /**
         * How long requests are still accepted after readiness turned false. Load balancers check it once a second and
         * remove an entry after two failed checks.
         */
        val NOT_READY_NOTICE = 2_200.milliseconds
        val STOP_POLL = 50.milliseconds

        /** After a longer interval between two ticks, callers may have left whose requests are still to be read. */
        val LATE_TICK = 200.milliseconds
        val LATE_MEMORY = 500.milliseconds

        /** Connections that waited to be accepted are served within this time. */
        val START_TIME = 2.seconds

        /** End of the grace period in which requests that cannot end any more are refused. */
        val LAST_RESPONSES_TIME = 300.milliseconds

        /** Limit on the time in which the event loop ends; part of [STOP_MARGIN]. */
        const val SHUTDOWN_MILLIS = 100L

        /** Part of the grace period that is reserved for the exit of the process. */
        val STOP_MARGIN = 700.milliseconds
    }
}
