package io.mimosatrail.daemon.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.config.ConfigRecord
import io.mimosatrail.core.config.Configuration
import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.config.Ticket
import io.mimosatrail.core.config.apply
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.SubmissionId
import io.mimosatrail.core.id.TicketNumber
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreChange
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.TimerService
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.host.MessageRouter
import io.mimosatrail.protocol.ConfigFetch
import io.mimosatrail.protocol.ConfigState
import io.mimosatrail.protocol.PeerError
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.Peers
import io.mimosatrail.store.ticket.ConfigKeys
import io.mimosatrail.store.ticket.RecordCodec
import io.mimosatrail.store.ticket.SnapshotCodec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val TIMEOUT = 30.seconds

private fun record(revision: Long) = ConfigRecord(
    ConfigRevision(revision),
    SubmissionId("s$revision"),
    "tester",
    Ticket(TicketNumber(revision), services = listOf(PlainService(ServiceId("service-$revision")))),
)

/** An in-memory store with a ticket log. Every call fails while [isDown] is true. */
private class FakeStore {
    private val values = TreeMap<String, StoredValue>()
    private var writes = 0L

    @Volatile
    var isDown = false

    @Synchronized
    fun put(revision: Long, bytes: ByteArray = RecordCodec.encode(record(revision))) {
        val key = ConfigKeys.record(ConfigRevision(revision))
        values[key.value] = StoredValue(key, bytes, StoreRevision(++writes), StoreRevision(1))
    }

    val call: StoreCall = { command ->
        if (command is StoreCommand.Watch) delay(50.milliseconds)
        if (isDown) StoreReply.NotDone("down") else execute(command)
    }

    @Synchronized
    private fun execute(command: StoreCommand): StoreReply = when (command) {
        is StoreCommand.Get -> StoreReply.Value(values[command.key.value])
        is StoreCommand.List -> StoreReply.Values(under(command.prefix, command.after), more = false)
        is StoreCommand.Watch -> StoreReply.Changes(
            under(command.prefix, null).filter { it.revision > command.after }
                .map { StoreChange(it.key, it, it.revision) },
            StoreRevision(writes),
        )
        else -> error("not supported by the fake: $command")
    }

    private fun under(prefix: StoreKey, after: StoreKey?) = values.values.filter {
        it.key.value.startsWith(prefix.value) && it.key.value > after?.value.orEmpty()
    }
}

/** Followers that exchange messages in memory. */
private class FakeFleet(private val store: FakeStore) {
    private val scope = CoroutineScope(Job() + Dispatchers.Default)
    private val timers = TimerService { _, cause -> throw cause }
    private val routers = ConcurrentHashMap<PeerAddress, MessageRouter>()
    private val followers = ConcurrentHashMap<InstanceId, ConfigFollower>()

    @Volatile
    private var rows: List<InstanceEntry> = emptyList()

    init {
        scope.launch {
            while (true) {
                timers.advance(systemClock())
                delay(20.milliseconds)
            }
        }
    }

    fun start(name: String): ConfigFollower {
        val self = InstanceEntry(InstanceId(name), InstanceRole.ENTRY, PlaceId("lulea"), address(name))
        val router = MessageRouter()
        val follower = ConfigFollower(self, store.call, PeersOf(self.id), router, timers, scope, { rows })
        routers[self.address] = router
        followers[self.id] = follower
        rows = rows + self
        follower.start()
        return follower
    }

    /** Adds a peer to the instance list that answers every fetch with [state]. */
    fun addPeer(name: String, state: ConfigState) {
        val self = InstanceEntry(InstanceId(name), InstanceRole.ENTRY, PlaceId("lulea"), address(name))
        routers[self.address] = MessageRouter().apply { on<ConfigFetch> { _, _ -> state } }
        rows = rows + self
    }

    fun stop() = scope.cancel()

    private fun address(name: String) = PeerAddress(name, 1)

    private inner class PeersOf(private val from: InstanceId) : Peers {
        override suspend fun send(to: PeerAddress, message: PeerMessage): Result<Unit, PeerError> =
            if (deliver(to, message) == null) Err(PeerError.Unreachable(to, "absent")) else Ok(Unit)

        override suspend fun ask(to: PeerAddress, message: PeerMessage, timeout: Duration) =
            deliver(to, message)?.let { Ok(it) } ?: Err(PeerError.NoAnswer(to, "no answer"))

        private suspend fun deliver(to: PeerAddress, message: PeerMessage): PeerMessage? {
            val sender = followers.getValue(from)
            followers[InstanceId(to.host)]?.onPeerRevision(from, sender.revision())
            val answer = routers[to]?.dispatch(from, message)
            followers[InstanceId(to.host)]?.let { sender.onPeerRevision(InstanceId(to.host), it.revision()) }
            return answer
        }
    }
}

private suspend fun withFleet(store: FakeStore, block: suspend FakeFleet.() -> Unit) {
    val fleet = FakeFleet(store)
    try {
        fleet.block()
    } finally {
        fleet.stop()
    }
}

class ConfigFollowerTest :
    FunSpec({
        test("every process of a place advances to each new revision") {
            val store = FakeStore().apply { put(1) }
            withFleet(store) {
                val followers = List(6) { start("node-$it") }
                eventually(TIMEOUT) { followers.forEach { it.isReady.shouldBeTrue() } }
                store.put(2)
                store.put(3)
                eventually(TIMEOUT) { followers.forEach { it.revision() shouldBe ConfigRevision(3) } }
                followers.count { it.isRelay } shouldBe 2
            }
        }

        test("a process that starts while the store is down gets the configuration from its peers") {
            val store = FakeStore().apply { (1L..150L).forEach { put(it) } }
            withFleet(store) {
                val first = start("first")
                eventually(TIMEOUT) { first.revision() shouldBe ConfigRevision(150) }
                store.isDown = true
                val second = start("second")
                eventually(TIMEOUT) {
                    second.isReady.shouldBeTrue()
                    second.current() shouldBe first.current()
                }
            }
        }

        test("an invalid record leaves the earlier revision in force until the record is repaired") {
            val store = FakeStore().apply {
                put(1)
                put(2, byteArrayOf(9, 9))
            }
            withFleet(store) {
                val follower = start("only")
                eventually(TIMEOUT) { follower.isReady.shouldBeTrue() }
                follower.revision() shouldBe ConfigRevision(1)
                store.put(2)
                store.put(3)
                eventually(TIMEOUT) { follower.revision() shouldBe ConfigRevision(3) }
            }
        }

        test("a process without contact to the store and to peers is not ready") {
            val store = FakeStore().apply { isDown = true }
            withFleet(store) {
                val follower = start("only")
                delay(500.milliseconds)
                follower.isReady.shouldBeFalse()
                follower.isCutOff.shouldBeTrue()
            }
        }

        test("older or invalid content of a peer changes nothing") {
            val store = FakeStore().apply { (1L..3L).forEach { put(it) } }
            val older = checkNotNull(Configuration().apply(record(1).ticket).get())
            val shards = SnapshotCodec.encode(older)
            withFleet(store) {
                val follower = start("node")
                eventually(TIMEOUT) { follower.revision() shouldBe ConfigRevision(3) }
                addPeer("older", ConfigState(ConfigRevision(1), shards = shards))
                addPeer("unusable", ConfigState(ConfigRevision(9), records = listOf(byteArrayOf(1))))
                addPeer("gap", ConfigState(ConfigRevision(9), records = listOf(RecordCodec.encode(record(9)))))
                delay(3.seconds)
                follower.revision() shouldBe ConfigRevision(3)
                follower.current().services.size shouldBe 3
            }
        }
    })
