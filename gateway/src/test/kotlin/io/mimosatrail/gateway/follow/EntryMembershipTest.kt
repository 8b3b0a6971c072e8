package io.mimosatrail.gateway.follow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.StoreTimeline
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoreTimelines
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Long enough for one round of [EntryMembership.run], shorter than two. */
private val ONE_ROUND = 500.milliseconds

/** A store whose leases do not expire during a test. Lists omit the [hidden] keys. */
private class FakeStore {
    val timelines = StoreTimelines().apply { accept(StoreTimeline(1)) }
    var values = LinkedHashMap<StoreKey, StoredValue>()
    var hidden = emptySet<StoreKey>()
    private val keyLeases = HashMap<StoreKey, LeaseId?>()
    private var leases = HashSet<LeaseId>()
    private var revision = 0L

    fun answer(command: StoreCommand): StoreReply = when (command) {
        is StoreCommand.Grant -> StoreReply.Lease(LeaseId(++revision).also { leases += it }, 3.seconds)
        is StoreCommand.Renew ->
            if (command.lease in leases) StoreReply.Lease(command.lease, 3.seconds) else StoreReply.Conflict(null)
        is StoreCommand.List -> StoreReply.Values(values.filterKeys { it !in hidden }.values.toList(), more = false)
        is StoreCommand.Put -> put(command)
        else -> StoreReply.NotDone("not used here")
    }

    /** Returns to an empty store in which leases with the ids that were in use belong to others. */
    fun restoreEmpty() {
        values = LinkedHashMap()
        revision = 0
        timelines.accept(StoreTimeline(timelines.current.value + 1))
    }

    /** Removes the keys of [lease]. */
    fun endLease(lease: LeaseId) {
        leases -= lease
        values.keys.removeIf { keyLeases[it] == lease }
    }

    fun leaseOf(key: StoreKey): LeaseId? = keyLeases[key]

    private fun put(put: StoreCommand.Put): StoreReply {
        val known = values[put.key]
        if (put.expected != null &&
            (known?.revision ?: StoreRevision(0)) != put.expected
        ) {
            return StoreReply.Conflict(known)
        }
        val written = StoreRevision(++revision)
        values[put.key] = StoredValue(put.key, put.value, written, known?.createRevision ?: written)
        keyLeases[put.key] = put.lease
        return StoreReply.Written(written)
    }
}

private val dutyKey = StoreKey("mimosatrail/duties/placement")

private fun newEntry(store: FakeStore, id: String, clock: Clock = { Moment(0) }) = EntryMembership(
    { store.answer(it) },
    store.timelines,
    InstanceId(id),
    PeerAddress("127.0.0.1", 7_000),
    clock,
)

private suspend fun EntryMembership.runOneRound() = withTimeoutOrNull(ONE_ROUND) { coroutineScope { run() } }

/** Starts an entry, runs one round of its membership and returns it. */
private suspend fun startEntry(store: FakeStore, id: String): EntryMembership =
    newEntry(store, id).also { it.runOneRound() }

class EntryMembershipTest :
    FunSpec({
        test("the first entry takes the duty, a second one does not") {
            val store = FakeStore()
            startEntry(store, "edge-1").dutyTerm().shouldNotBeNull()
            startEntry(store, "edge-2").dutyTerm().shouldBeNull()
        }

        // Guards against messages to hosts that would have to be resolved on the event loop.
        test("keys of other writers among those of the entries name no peer") {
            val store = FakeStore()
            val odd = listOf("", "not an ip:7000", "example.org:7000", "10.0.0.1:0", "10.0.0.1:70000", "\u0000")
            odd.forEachIndexed { index, text ->
                val key = StoreKey("mimosatrail/entries/odd-$index")
                store.answer(StoreCommand.Put(key, text.toByteArray(), null, null))
            }
            store.answer(StoreCommand.Put(StoreKey("mimosatrail/entries/b"), "10.0.0.2:7000".toByteArray(), null, null))
            startEntry(store, "a").registered.peers shouldBe listOf(PeerAddress("10.0.0.2", 7_000))
        }

        test("a restarted entry does not mistake the duty of its earlier process for its own") {
            val store = FakeStore()
            startEntry(store, "edge-1").isDutyHolder shouldBe true
            startEntry(store, "edge-1").isDutyHolder shouldBe false
        }

        test("a holder keeps the duty if a stale listing does not show its key") {
            val store = FakeStore()
            val holder = startEntry(store, "edge-1")
            store.hidden = setOf(dutyKey)
            holder.runOneRound()
            holder.isDutyHolder shouldBe true
        }

        // Guards against an entry that renews a lease that belongs to another one since a restore of the store.
        test("after a restore of the store an entry registers again under a new lease") {
            val store = FakeStore()
            val entry = startEntry(store, "edge-1")
            val key = StoreKey("mimosatrail/entries/edge-1")
            val earlier = store.leaseOf(key)
            store.restoreEmpty()
            startEntry(store, "edge-2")
            entry.onRestored()
            entry.runOneRound()
            (key in store.values) shouldBe true
            (store.leaseOf(key) == earlier) shouldBe false
            entry.dutyTerm().shouldBeNull()
        }

        test("after a restore of the store a holder attaches the duty to its new lease") {
            val store = FakeStore()
            val entry = startEntry(store, "edge-1")
            val earlier = store.leaseOf(dutyKey).shouldNotBeNull()
            entry.onRestored()
            entry.isDutyHolder shouldBe false
            entry.runOneRound()
            entry.isDutyHolder shouldBe true
            store.endLease(earlier)
            (dutyKey in store.values) shouldBe true
        }

        test("entries that have not registered again yet are counted for two seconds after a restore of the store") {
            var now = Moment(0)
            val store = FakeStore()
            startEntry(store, "edge-2")
            val entry = newEntry(store, "edge-1") { now }
            entry.runOneRound()
            store.restoreEmpty()
            entry.onRestored()
            entry.runOneRound()
            entry.registered.entries shouldBe 2
            now += 3.seconds
            entry.runOneRound()
            entry.registered.entries shouldBe 1
        }

        test("an entry that is missing from the store registers again") {
            val store = FakeStore()
            val entry = startEntry(store, "edge-1")
            val key = StoreKey("mimosatrail/entries/edge-1")
            store.values.remove(key)
            repeat(2) { entry.runOneRound() }
            (key in store.values) shouldBe true
        }

        test("renewals at the same time open one lease") {
            val store = FakeStore()
            var grants = 0
            val slow: StoreCall = { command ->
                if (command is StoreCommand.Grant) grants++
                delay(50.milliseconds)
                store.answer(command)
            }
            val entry =
                EntryMembership(slow, store.timelines, InstanceId("edge-1"), PeerAddress("127.0.0.1", 1), { Moment(0) })
            withTimeoutOrNull(ONE_ROUND) {
                launch { entry.run() }
                launch { entry.confirmDuty() }
            }
            grants shouldBe 1
        }

        // Guards against keys that nobody removes, which would keep the duty from all entries.
        test("an entry that loses its lease between two calls writes no key without one") {
            val store = FakeStore()
            lateinit var entry: EntryMembership
            val leases = mutableListOf<LeaseId?>()
            val losing: StoreCall = { command ->
                if (command is StoreCommand.Put) leases += command.lease
                store.answer(command).also { if (command is StoreCommand.List) entry.onRestored() }
            }
            entry =
                EntryMembership(losing, store.timelines, InstanceId("edge-1"), PeerAddress("127.0.0.1", 1), {
                    Moment(0)
                })
            entry.runOneRound()
            leases.forEach { it.shouldNotBeNull() }
            (dutyKey in store.values) shouldBe false
        }
    })
