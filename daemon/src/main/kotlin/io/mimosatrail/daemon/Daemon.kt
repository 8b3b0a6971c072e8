package io.mimosatrail.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.admin.StatusPage
import io.mimosatrail.daemon.admin.adminApi
import io.mimosatrail.daemon.config.ConfigFollower
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.daemon.host.driveTimers
import io.mimosatrail.daemon.host.logTimerFailure
import io.mimosatrail.daemon.http.serveHttp
import io.mimosatrail.daemon.membership.InstanceWatcher
import io.mimosatrail.daemon.role.EntryRole
import io.mimosatrail.daemon.role.Role
import io.mimosatrail.daemon.role.SidecarRole
import io.mimosatrail.daemon.settings.DaemonSettings
import io.mimosatrail.protocol.PeerNode
import io.mimosatrail.protocol.PeerSettings
import io.mimosatrail.store.client.HttpStore
import io.mimosatrail.store.client.budgetedStore
import io.mimosatrail.store.instances.HttpInstanceList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.http4k.server.Http4kServer

private const val MAX_ADMIN_REQUESTS = 8

private val log = KotlinLogging.logger("daemon")

/** One process of the system: an entry, or the sidecar of one upstream. */
class Daemon(private val settings: DaemonSettings) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clock = systemClock
    private val timers = TimerService(::logTimerFailure)
    private val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val messages = MessageRouter()
    private val store = budgetedStore(HttpStore(settings.store)::invoke, meters = meters, clock = clock)
    private val watcher = InstanceWatcher(HttpInstanceList(settings.instances), timers, scope)
    private val peers = PeerNode(
        settings = PeerSettings(settings.instance, settings.host, settings.peerPort, settings.peerSecrets),
        revision = { if (::follower.isInitialized) follower.revision() else ConfigRevision(0) },
        onRevision = { from, revision -> if (::follower.isInitialized) follower.onPeerRevision(from, revision) },
        handler = messages::dispatch,
    )
    private lateinit var follower: ConfigFollower
    private lateinit var host: Host
    private lateinit var role: Role
    private lateinit var admin: Http4kServer

    @Volatile
    private var isDraining = false

    /** Starts all components and returns the addresses on which the daemon listens, with the actual ports. */
    suspend fun start(): DaemonAddresses {
        host = newHost(peers.listen())
        role = when (settings.role) {
            InstanceRole.ENTRY -> EntryRole(host, settings) { follower.isReady }
            InstanceRole.SIDECAR -> SidecarRole(host, checkNotNull(settings.upstream))
        }
        JvmMemoryMetrics().bindTo(meters)
        ProcessorMetrics().bindTo(meters)
        watcher.start()
        follower.start()
        role.start()
        scope.driveTimers(timers, clock)
        admin =
            serveHttp(adminApi(::isReady, ::status, meters), settings.adminHost, settings.adminPort, MAX_ADMIN_REQUESTS)
        return addresses().also { log.info { "daemon: $settings is listening, $it" } }
    }

    /**
     * Planned stop: reports not ready, refuses new work after [DaemonSettings.drainNotice], waits until everything in
     * flight has ended, and closes the daemon.
     */
    suspend fun stop() {
        isDraining = true
        log.info { "daemon: stopping, not ready from now on, refusing new work in ${settings.drainNotice}" }
        delay(settings.drainNotice)
        role.startDraining()
        role.awaitDrained()
        log.info { "daemon: drained" }
        kill()
    }

    /** Closes everything immediately and aborts requests in flight. */
    fun kill() {
        scope.cancel()
        peers.close()
        role.close()
        admin.stop()
    }

    /** True if [ConfigFollower.isReady] is true and the daemon is not stopping. */
    fun isReady(): Boolean = !isDraining && follower.isReady

    /** The state shown to operators. */
    fun status(): StatusPage = StatusPage(
        self = host.self,
        ready = isReady(),
        draining = isDraining,
        revision = follower.revision().value,
        requestsInFlight = role.requestsInFlight,
        upstreams = runBlocking { role.upstreams() },
        instances = watcher.current(),
    )

    private fun newHost(address: PeerAddress): Host {
        val self = InstanceEntry(
            id = settings.instance,
            role = settings.role,
            place = settings.place,
            address = address,
            service = settings.upstream?.service,
        )
        follower = ConfigFollower(self, store, peers, messages, timers, scope, watcher::current)
        return Host(
            self = self,
            clock = clock,
            timers = timers,
            scope = scope,
            peers = peers,
            store = store,
            meters = meters,
            messages = messages,
            configuration = follower::current,
            instances = watcher::current,
        )
    }

    private fun addresses() = DaemonAddresses(
        peer = host.self.address,
        admin = PeerAddress(settings.adminHost, admin.port()),
        http = role.httpPort?.let { PeerAddress(settings.host, it) },
    )
}
