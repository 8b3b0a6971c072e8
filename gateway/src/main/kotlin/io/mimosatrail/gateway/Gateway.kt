package io.mimosatrail.gateway

import io.micrometer.core.instrument.MeterRegistry
import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.front.FrontLimits
import io.mimosatrail.core.registry.StorePollIntervals
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.retry.RetryBudgets
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.gateway.duty.PlacementDuty
import io.mimosatrail.gateway.follow.ConfigurationFollower
import io.mimosatrail.gateway.follow.EntryMembership
import io.mimosatrail.gateway.follow.RegistryFollower
import io.mimosatrail.gateway.forward.ForwardContext
import io.mimosatrail.gateway.forward.ForwardMeters
import io.mimosatrail.gateway.forward.InFlightTable
import io.mimosatrail.gateway.forward.RequestRouter
import io.mimosatrail.gateway.forward.StallWatch
import io.mimosatrail.gateway.forward.UpstreamState
import io.mimosatrail.gateway.front.Caller
import io.mimosatrail.gateway.front.FrontServer
import io.mimosatrail.gateway.gossip.LoadGossip
import io.mimosatrail.gateway.gossip.WordBoard
import io.mimosatrail.gateway.log.logEvent
import io.mimosatrail.gateway.net.ConnectionPool
import io.mimosatrail.gateway.net.ControlCalls
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One entry that serves host routes. All state is confined to one event loop, so nothing is locked. */
class Gateway(
    private val settings: GatewaySettings,
    private val meters: MeterRegistry,
    private val scrape: () -> String,
    makePorts: PortsFactory,
) {
    private val clock: Clock = systemClock
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("gateway", true))
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val timers = TimerService()
    private val pool = ConnectionPool(loop, clock)
    private val ports = makePorts(ControlCalls(pool, loop))
    private val registry = UpstreamRegistry()
    private val traffic = UpstreamTraffic()
    private val peerLoads = PeerLoads()
    private val inFlight = InFlightTable()
    private val words = WordBoard(registry, traffic, clock)
    private val membership = EntryMembership(ports.store, settings.instance, settings.gossip, clock)
    private val pace = StorePollIntervals(settings.drainNotice, settings.configurationBound)
    private val followed = ConfigurationFollower(
        ports.store,
        ports.configurationKey,
        ports.decodeConfiguration,
        pace.watchWait,
        onChange = { logReadiness() },
    )
    private val follower = RegistryFollower(
        ports.store,
        ports.upstreamPrefix,
        ports.decodeUpstream,
        registry,
        clock,
        period = { pace.listingInterval(membership.share.entries) },
        onChange = {
            traffic.onRegistry(it)
            logReadiness()
        },
    )
    private val duty = PlacementDuty(
        registry = registry,
        traffic = traffic,
        engines = ports.engines,
        configuration = { followed.current },
        isHolder = { membership.isDutyHolder },
        confirmHolder = membership::confirmDuty,
        settings = settings.placement,
        words = words,
        clock = clock,
        scope = scope,
    )
    private val context = ForwardContext(
        clock = clock,
        place = settings.place,
        headers = ports.headers,
        pool = pool,
        upstreams = UpstreamState(registry, traffic, peerLoads, words),
        retries = RetryBudgets(settings.retryRatio, settings.retrySlack, settings.retryWindow) {
            membership.share.entries
        },
        engines = ports.engines,
        share = { membership.share },
        inFlight = inFlight,
        meters = ForwardMeters(meters),
        scope = scope,
    )
    private val gossip = LoadGossip(
        self = settings.instance,
        traffic = traffic,
        loads = peerLoads,
        peers = { membership.share.peers },
        words = words,
        duty = membership::dutyTerm,
        onDown = inFlight::onEngineDown,
        onHeard = membership::onHeard,
        loop = loop,
        clock = clock,
    )
    private var isStopping = false
    private var isRefusing = false
    private var wasReady = false
    private val router = RequestRouter(
        context = context,
        configuration = { followed.current },
        isStateLoaded = { followed.current != null && registry.isLoaded },
        isStopping = { isRefusing },
    )
    private val front = FrontServer(group, clock, ::limits, router::serve)
    private val ready = FrontServer(group, clock, ::limits, ::serveReady)

    /**
     * Listens and begins to follow the store. Takes [bound] over if the front address is listened on already. Fails if
     * an address cannot be had.
     */
    fun start(bound: ServerSocketChannel? = null) {
        if (bound != null) front.listen(bound) else front.listen(settings.front)
        ready.listen(settings.ready)
        gossip.listen(settings.gossip)
        timers.every("load gossip", LoadGossip.PERIOD, gossip::tell)
        context.onEngineDetectedDown = { gossip.tell(clock()) }
        timers.every("event loop", StallWatch.PERIOD, LoopWatch(inFlight::size)::tick)
        timers.every("stalls", StallWatch.PERIOD, context.stallWatch::tick)
        timers.every("deadlines", DEADLINE_TICK) { inFlight.tick(it) }
        timers.every("early requests", DEADLINE_TICK) { router.tick(it) }
        timers.every("idle connections", IDLE_TICK) { closeIdle() }
        loop.scheduleAtFixedRate(
            { timers.advance(clock()) },
            0,
            StallWatch.PERIOD.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        scope.launch { followed.run() }
        scope.launch { follower.run() }
        scope.launch { membership.run() }
        scope.launch { duty.run() }
        logEvent("gateway", "started", "settings" to settings)
    }

    /**
     * Ends new work, waits for what is in flight within the grace period, and returns when the process may end. Does
     * nothing the second time.
     */
    fun stop() {
        if (loop.isShuttingDown) return
        val begun = clock()
        onLoop {
            isStopping = true
            front.isStopping = true
            logEvent("gateway", "stopping", "in-flight" to inFlight.size)
        }
        while (clock() - begun < settings.grace - STOP_MARGIN) {
            val waited = clock() - begun
            if (waited >= NOTICE) onLoop { isRefusing = true }
            if (waited >= NOTICE && onLoop { inFlight.size } == 0) break
            Thread.sleep(STOP_POLL.inWholeMilliseconds)
        }
        logEvent("gateway", "stopped", "cut" to onLoop { inFlight.size })
        scope.cancel()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get()

    private fun limits(): FrontLimits = followed.current?.limits ?: DEFAULT_LIMITS

    private fun isReady(): Boolean = !isStopping && followed.current != null && registry.all.any { !it.isDraining }

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

        /** Deadlines are met to within this time. */
        val DEADLINE_TICK = 40.milliseconds
        val IDLE_TICK = 1.seconds

        /** Balancers take an entry out after two checks, one a second. */
        val NOTICE = 2_200.milliseconds
        val STOP_POLL = 50.milliseconds

        /** Time kept for the end of the process itself. */
        val STOP_MARGIN = 700.milliseconds

        /** Bounds until a configuration has been read. */
        val DEFAULT_LIMITS = FrontLimits(16 * 1024, 1024 * 1024, 5.seconds, 30.seconds)
    }
}
