package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.net.toPeerAddressOrNull
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.log.logEvent
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ENTRIES = StoreKey("mimosatrail/entries")
private val DUTY = StoreKey("mimosatrail/duties/placement")
private val ROOT = StoreKey("mimosatrail/")

/**
 * Registers this entry under a lease, counts the others, and holds the placement duty while this entry has it. The
 * duty's key hangs on the same lease, so that it ends with the entry.
 */
internal class EntryMembership(
    private val store: StoreCall,
    private val self: InstanceId,
    private val gossip: PeerAddress,
    private val clock: Clock,
    life: Long = Random.nextLong(),
) {
    private val link = StoreLink("membership")
    private var lease: LeaseId? = null
    private var isRegistered = false
    private val duty = DutyHold(self)

    /** Names this life in the duty's key: the lease of an earlier one may not have ended yet. */
    private val holderName = "$self/${life.toULong().toString(HEXADECIMAL)}"
    private var changedAt = clock()

    /** Entries as last listed. */
    var share = EntryShare.UNKNOWN
        private set

    /** True while this entry may act for the placement duty. */
    val isDutyHolder: Boolean get() = duty.mayAct(clock())

    /** Term of the placement duty while this entry holds it. */
    fun dutyTerm(): Long? = duty.term

    /** Notes a message of another entry, which holds the duty in [term] if that is set. */
    fun onHeard(peer: InstanceId, term: Long?) = duty.onHeard(peer, term, clock())

    /** Keeps the registration until cancelled. */
    suspend fun run() {
        while (true) {
            if (keepLease() && register()) list()
            delay(PERIOD)
        }
    }

    /** Renews the lease and answers whether the duty is still this entry's; call it right before an order. */
    suspend fun confirmDuty(): Boolean {
        keepLease()
        return duty.mayAct(clock())
    }

    private suspend fun keepLease(): Boolean {
        val asked = clock()
        val held = lease
        val reply = store(if (held == null) StoreCommand.Grant(TTL) else StoreCommand.Renew(held))
        when (reply) {
            is StoreReply.Lease -> {
                link.onAnswer()
                lease = reply.id
                duty.onLease(asked + reply.ttl - CLOCK_MARGIN)
            }
            is StoreReply.Conflict -> dropLease("the lease has ended")
            else -> {
                link.onFailure(reply)
                duty.onStoreAway(clock())
            }
        }
        return reply is StoreReply.Lease
    }

    private suspend fun register(): Boolean {
        if (isRegistered) return true
        val put = StoreCommand.Put(ENTRIES / self.value, gossip.toString().encodeToByteArray(), null, lease)
        when (val reply = store(put)) {
            is StoreReply.Written -> isRegistered = true
            is StoreReply.Conflict -> dropLease("the lease has ended")
            else -> link.onFailure(reply)
        }
        return isRegistered
    }

    private suspend fun list() {
        val now = clock()
        val listing = store.listAll(ROOT, mayBeStale = now - changedAt > SETTLED)
        if (listing !is Listing.Whole) {
            changedAt = now
            return
        }
        val counted = EntryShare.of(self, listing.values.mapNotNull(::entry).toMap())
        if (counted != share) {
            logEvent("membership", "entries-counted", "entries" to counted.entries)
            changedAt = now
        }
        share = counted
        val holder = listing.values.firstOrNull { it.key == DUTY }
        if (holder == null) claimDuty() else noteHolder(ownTerm(holder))
    }

    private fun ownTerm(holder: StoredValue): Long? =
        holder.createRevision.value.takeIf { holder.value.decodeToString() == holderName }

    private fun entry(value: StoredValue): Pair<InstanceId, PeerAddress>? {
        val id = value.key.value.removePrefix("$ENTRIES/")
        if (id == value.key.value) return null
        return value.value.decodeToString().toPeerAddressOrNull()?.let { InstanceId(id) to it }
    }

    private suspend fun claimDuty() {
        val put = StoreCommand.Put(DUTY, holderName.encodeToByteArray(), StoreRevision(0), lease)
        when (val reply = store(put)) {
            is StoreReply.Written -> noteHolder(reply.revision.value)
            is StoreReply.Conflict -> noteHolder(reply.current?.let(::ownTerm))
            else -> noteHolder(null)
        }
    }

    private fun noteHolder(term: Long?) {
        if ((term != null) != (duty.term != null)) {
            logEvent("membership", if (term != null) "duty-taken" else "duty-lost", "duty" to DUTY, "term" to term)
        }
        duty.onHolder(term)
    }

    private fun dropLease(reason: String) {
        logEvent("membership", "lease-lost", "lease" to lease, "reason" to reason)
        lease = null
        isRegistered = false
        noteHolder(null)
    }

    private companion object {
        /** Another entry takes over this long after the holder's last sign. */
        val TTL: Duration = 3.seconds

        /** Three renewals fit into the time to live. */
        val PERIOD: Duration = 1.seconds

        /** Entries that start together are counted within this time; then older listings serve as well. */
        val SETTLED: Duration = 5.seconds

        const val HEXADECIMAL = 16

        /** Two steady clocks may differ by this much over the time to live. */
        val CLOCK_MARGIN: Duration = 100.milliseconds
    }
}
