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

/** Stand-ins and daemons in one JVM, all on loopback with ports chosen by the system. */
class Fleet(private val place: String, private val drainNotice: Duration = 100.milliseconds) : AutoCloseable {
    val store: StoreStandin = StoreStandin().start()
    val list: InstanceListStandin = InstanceListStandin().start()
    private val engines = mutableListOf<EngineStandin>()
    private val plains = mutableListOf<PlainStandin>()
    private val members = ConcurrentSkipListMap<String, Member>()

    /** Daemons that run, by instance name. */
    val running: List<Member> get() = members.values.toList()

    /** Starts an engine stand-in; [sidecar] starts the process beside it. */
    fun engine(settings: EngineSettings): EngineStandin = EngineStandin(settings).start().also { engines += it }

    /** Starts a plain-service stand-in; [sidecar] starts the process beside it. */
    fun plain(): PlainStandin = PlainStandin().start().also { plains += it }

    /** Starts an entry and lists it. */
    suspend fun entry(name: String): Member = start(settings(name, InstanceRole.ENTRY, null))

    /** Starts a sidecar for the upstream at [url] and lists it. */
    suspend fun sidecar(name: String, service: String, kind: UpstreamKind, url: String): Member =
        start(settings(name, InstanceRole.SIDECAR, UpstreamSettings(ServiceId(service), kind, url)))

    /** Marks an instance as leaving in the list. */
    fun markLeaving(name: String) = list.put(row(members.getValue(name), "leaving"))

    /** Stops an instance as planned; returns when it has ended. */
    suspend fun stop(name: String) {
        members.getValue(name).daemon.stop()
        forget(name)
    }

    /** Ends an instance at once, without any notice to others. */
    fun kill(name: String) {
        members.getValue(name).daemon.kill()
        members.remove(name)
    }

    /** Takes an instance off the list. */
    fun forget(name: String) {
        members.remove(name)
        list.remove(name)
    }

    override fun close() {
        members.values.forEach { it.daemon.kill() }
        engines.forEach { it.stop() }
        plains.forEach { it.stop() }
        list.stop()
        store.stop()
    }

    private suspend fun start(settings: DaemonSettings): Member {
        val daemon = Daemon(settings)
        val member = Member(settings, daemon, daemon.start())
        members[settings.instance.value] = member
        list.put(row(member, "live"))
        return member
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

    private fun row(member: Member, state: String) = InstanceRow(
        id = member.settings.instance.value,
        role = member.settings.role.name.lowercase(),
        place = member.settings.place.value,
        address = member.addresses.peer.toRow(),
        state = state,
        service = member.settings.upstream?.service?.value,
        adminAddress = member.addresses.admin.toRow(),
    )

    private fun PeerAddress.toRow() = Address(host, port)
}
