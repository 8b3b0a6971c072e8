package io.mimosatrail.bench.fleet

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.daemon.Daemon
import io.mimosatrail.daemon.settings.DaemonSettings
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.daemon.settings.UpstreamSettings
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.standins.instances.Address
import io.mimosatrail.standins.instances.InstanceListStandin
import io.mimosatrail.standins.instances.InstanceRow
import io.mimosatrail.standins.plain.PlainStandin
import io.mimosatrail.standins.store.StoreStandin
import java.util.concurrent.ConcurrentSkipListMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val SECRET = "loopback-fleet-secret"

/**
 * Stand-ins and daemons in one JVM, all on loopback with ports chosen by the operating system. The store and the
 * instance list are started with the fleet, everything else by its methods.
 */
class Fleet(private val place: String, private val drainNotice: Duration = 100.milliseconds) : AutoCloseable {
    val store: StoreStandin = StoreStandin().start()
    val list: InstanceListStandin = InstanceListStandin().start()
    private val engines = mutableListOf<EngineStandin>()
    private val plainServices = mutableListOf<PlainStandin>()
    private val instances = ConcurrentSkipListMap<String, FleetInstance>()

    /** Running daemons, sorted by instance name. */
    val running: List<FleetInstance> get() = instances.values.toList()

    /** Starts an engine stand-in. Its sidecar is started by [startSidecar]. */
    fun startEngine(settings: EngineSettings): EngineStandin = EngineStandin(settings).start().also { engines += it }

    /** Starts a plain-service stand-in. Its sidecar is started by [startSidecar]. */
    fun startPlainService(): PlainStandin = PlainStandin().start().also { plainServices += it }

    /** Starts an entry and adds it to the instance list. */
    suspend fun startEntry(name: String): FleetInstance = start(settings(name, InstanceRole.ENTRY, null))

    /** Starts a sidecar for the upstream at [url] and adds it to the instance list. */
    suspend fun startSidecar(name: String, service: String, kind: UpstreamKind, url: String): FleetInstance =
        start(settings(name, InstanceRole.SIDECAR, UpstreamSettings(ServiceId(service), kind, url)))

    /** Marks an instance as leaving in the instance list. */
    fun markLeaving(name: String) = list.put(row(instances.getValue(name), "leaving"))

    /** Runs the planned stop of an instance and removes it from the instance list; returns when it has ended. */
    suspend fun stop(name: String) {
        instances.getValue(name).daemon.stop()
        remove(name)
    }

    /** Kills an instance without notice to the others; it stays in the instance list. */
    fun kill(name: String) {
        instances.getValue(name).daemon.kill()
        instances.remove(name)
    }

    /** Removes an instance from the instance list and from [running]. Its daemon is not stopped. */
    fun remove(name: String) {
        instances.remove(name)
        list.remove(name)
    }

    override fun close() {
        instances.values.forEach { it.daemon.kill() }
        engines.forEach { it.stop() }
        plainServices.forEach { it.stop() }
        list.stop()
        store.stop()
    }

    private suspend fun start(settings: DaemonSettings): FleetInstance {
        val daemon = Daemon(settings)
        val instance = FleetInstance(settings, daemon, daemon.start())
        instances[settings.instance.value] = instance
        list.put(row(instance, "live"))
        return instance
    }

    private fun settings(name: String, role: InstanceRole, upstream: UpstreamSettings?) = DaemonSettings(
        role = role,
        instance = InstanceId(name),
        place = PlaceId(place),
        store = store.url,
        instances = list.url,
        peerSecrets = listOf(SECRET),
        upstream = upstream,
        drainNotice = drainNotice,
    )

    private fun row(instance: FleetInstance, state: String) = InstanceRow(
        id = instance.settings.instance.value,
        role = instance.settings.role.name.lowercase(),
        place = instance.settings.place.value,
        address = instance.addresses.peer.toRow(),
        state = state,
        service = instance.settings.upstream?.service?.value,
        adminAddress = instance.addresses.admin.toRow(),
    )

    private fun PeerAddress.toRow() = Address(host, port)
}
