package io.mimosatrail.bench.journal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.entry.call.CallForwarder
import io.mimosatrail.daemon.entry.directory.UpstreamDirectory
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.daemon.sidecar.call.CallOwner
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.Peers
import io.mimosatrail.standins.plain.PlainStandin
import io.mimosatrail.standins.store.StoreStandin
import io.mimosatrail.store.client.HttpStore
import io.mimosatrail.upstream.HttpPlainClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An entry and the sidecars of one plain service, all in this process.
 *
 * The store and the upstreams are stand-ins that are called over HTTP. Messages between the instances are delivered by
 * direct calls, without sockets.
 */
internal class CallCluster(sidecars: Int, storeDelayMillis: Long, workMillis: Long) : AutoCloseable {
    val service = PlainService(ServiceId("defects"))
    val storeStandin = StoreStandin().start()
    val upstreams = List(sidecars) { PlainStandin(workMillis = workMillis).start() }
    val store = HttpStore(storeStandin.url)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val timers = TimerService { _, cause -> throw cause }
    private val peers = LocalPeers()
    private val clients = upstreams.map { HttpPlainClient(it.url) }
    private val configuration = Configuration(services = mapOf(service.id to service))
    private val entries = List(sidecars) { instance("sidecar-$it", InstanceRole.SIDECAR, it + 1) }

    val owners = entries.zip(clients) { entry, client -> CallOwner(host(entry), client).also { it.start() } }
    val forwarder = CallForwarder(host(instance("entry", InstanceRole.ENTRY, 0)), StaticDirectory()).also { it.start() }

    init {
        storeStandin.faults.update { it.copy(delayMillis = storeDelayMillis) }
        scope.launch { runTimers() }
    }

    /** Number of store calls so far that write a value or maintain a lease. */
    fun storeWrites(): Long = storeStandin.stats().calls.filterKeys { it.isWrite }.values.sum()

    override fun close() {
        scope.cancel()
        clients.forEach { it.close() }
        store.close()
        upstreams.forEach { it.stop() }
        storeStandin.stop()
    }

    private suspend fun runTimers() {
        while (scope.isActive) {
            timers.advance(systemClock())
            delay(TIMER_STEP)
        }
    }

    private fun instance(name: String, role: InstanceRole, port: Int) = InstanceEntry(
        InstanceId(name),
        role,
        PlaceId("lulea"),
        PeerAddress("127.0.0.1", port),
        service = service.id.takeIf { role == InstanceRole.SIDECAR },
    )

    private fun host(self: InstanceEntry): Host {
        val messages = MessageRouter()
        peers.routers[self.address] = messages
        return Host(
            self,
            systemClock,
            timers,
            scope,
            peers,
            store::invoke,
            SimpleMeterRegistry(),
            messages,
            { configuration },
            { entries },
        )
    }

    private inner class StaticDirectory : UpstreamDirectory {
        override fun upstreamsOf(service: ServiceId) = entries.map {
            UpstreamDescription(it.id, it.place, it.address, service, UpstreamLoad())
        }

        override fun onLoad(instance: InstanceId, load: UpstreamLoad) = Unit

        override fun onRefused(instance: InstanceId, reason: RefusalReason) = Unit

        override fun onLost(instance: InstanceId) = Unit
    }

    private companion object {
        val TIMER_STEP = 5.milliseconds
    }
}

/** Delivers messages between the instances of this process. */
private class LocalPeers : Peers {
    val routers = ConcurrentHashMap<PeerAddress, MessageRouter>()

    override suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError> {
        routers[to]?.dispatch(InstanceId("local"), message)
        return Ok(Unit)
    }

    override suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration): Result<PeerMessage, PeerError> {
        val router = routers[to] ?: return Err(PeerError.Unreachable(to, "no such instance in this process"))
        val answer = withTimeoutOrNull(timeout) { router.dispatch(InstanceId("local"), message) }
        return answer?.let { Ok(it) } ?: Err(PeerError.NoAnswer(to, "no answer within $timeout"))
    }
}
