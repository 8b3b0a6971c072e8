package io.mimosatrail.gateway.follow

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Moment
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Long enough for one round of [EntryMembership.run], shorter than two. */
private val ONE_ROUND = 500.milliseconds

/** A store whose leases do not expire during a test. Lists omit the [hidden] keys. */
private class FakeStore {
    val values = LinkedHashMap<StoreKey, StoredValue>()
    var hidden = emptySet<StoreKey>()
    private var revision = 0L

    fun answer(command: StoreCommand): StoreReply = when (command) {
        is StoreCommand.Grant -> StoreReply.Lease(LeaseId(++revision), 3.seconds)
        is StoreCommand.Renew -> StoreReply.Lease(command.lease, 3.seconds)
        is StoreCommand.List -> StoreReply.Values(values.filterKeys { it !in hidden }.values.toList(), more = false)
        is StoreCommand.Put -> put(command)
        else -> StoreReply.NotDone("not used here")
    }

    private fun put(put: StoreCommand.Put): StoreReply {
        val known = values[put.key]
        if (put.expected != null &&
            (known?.revision ?: StoreRevision(0)) != put.expected
        ) {
            return StoreReply.Conflict(known)
        }
        val written = StoreRevision(++revision)
        values[put.key] = StoredValue(put.key, put.value, written, known?.createRevision ?: written)
        return StoreReply.Written(written)
    }
}

/** Starts an entry, runs one round of its membership and returns it. */
private suspend fun startEntry(store: FakeStore, id: String): EntryMembership {
    val membership = EntryMembership(
        { store.answer(it) },
        InstanceId(id),
        PeerAddress("127.0.0.1", 7_000),
        clock = { Moment(0) },
    )
    withTimeoutOrNull(ONE_ROUND) { coroutineScope { membership.run() } }
    return membership
}

class EntryMembershipTest :
    FunSpec({
        test("the first entry takes the duty, a second one does not") {
            val store = FakeStore()
            startEntry(store, "edge-1").dutyTerm().shouldNotBeNull()
            startEntry(store, "edge-2").dutyTerm().shouldBeNull()
        }

        test("a restarted entry does not mistake the duty of its earlier process for its own") {
            val store = FakeStore()
            startEntry(store, "edge-1").isDutyHolder shouldBe true
            startEntry(store, "edge-1").isDutyHolder shouldBe false
        }

        test("a holder keeps the duty if a stale listing does not show its key") {
            val store = FakeStore()
            val holder = startEntry(store, "edge-1")
            store.hidden = setOf(StoreKey("mimosatrail/duties/placement"))
            withTimeoutOrNull(ONE_ROUND) { coroutineScope { holder.run() } }
            holder.isDutyHolder shouldBe true
        }
    })
