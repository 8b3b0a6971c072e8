package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.net.toPeerAddressOrNull
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StorePosition
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoreTimelines
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ENTRIES = StoreKey("mimosatrail/entries")
private val DUTY = StoreKey("mimosatrail/duties/placement")
private val ROOT = StoreKey("mimosatrail/")

/**
 * Registers this entry in the store under a lease, lists the other entries, and claims the placement duty if nobody
 * holds it. The key of the duty is attached to the same lease, so the duty becomes free when this entry ends.
 *
 * A restore of the store from a backup may take the lease and the keys away or give the id of the lease to another
 * entry, so the entry registers again under a new lease.
 *
 * [incarnation] distinguishes this process from earlier ones with the same id.
 */
internal class EntryMembership(
    private val store: StoreCall,
    private val timelines: StoreTimelines,
    private val self: InstanceId,
    private val gossip: PeerAddress,
    private val clock: Clock,
    incarnation: Long = Random.nextLong(),
) {
    private val outageLog = StoreOutageLog("membership")
    private var lease: LeaseId? = null
    private val renewal = Mutex()
    private var isRegistered = false
    private val duty = DutyOwnership(self)

    /**
     * Start of the value of the duty's key while this process holds it. The id alone would not do: the lease of an
     * earlier process with the same id may not have expired yet.
     */
    private val processName = "$self/${incarnation.toULong().toString(HEXADECIMAL)}/"
    private var changedAt = clock()

    /** The other entries may still have to register again until this time; null if the store was never restored. */
    private var completeAt: Moment? = null
    private var addresses = emptyMap<InstanceId, PeerAddress>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** The entries in the last listing. */
    var registered = RegisteredEntries.INITIAL
        private set

    /** True if this entry may currently act for the placement duty. */
    val isDutyHolder: Boolean get() = duty.mayAct(clock())

    /** Value of the duty's key while this process holds it under the current lease. */
    private val holderName: String get() = "$processName$lease"

    /** Term of the placement duty (where its key was created) if this entry holds it, else null. */
    fun dutyTerm(): StorePosition? = duty.term

    /** Records a message of another entry; [term] is set if that entry holds the duty. */
    fun onPeerMessage(peer: InstanceId, term: StorePosition?) = duty.onPeerMessage(peer, term, clock())

    /** Keeps the entry registered and the list of entries up to date until cancelled. */
    suspend fun run() {
        while (true) {
            if (renewLease() && register()) list()
            withTimeoutOrNull(PERIOD) { wakeUps.receive() }
        }
    }

    /** Registers again at once, after the store was restored from a backup. */
    fun onRestored() {
        dropLease("the store was restored from a backup")
        completeAt = clock() + REGISTRATION_TIME
        changedAt = clock()
        wakeUps.trySend(Unit)
    }

    /**
     * Renews the lease and returns true if this entry may still act for the placement duty. To be called right before
     * orders are sent.
     */
    suspend fun confirmDuty(): Boolean {
        renewLease()
        return duty.mayAct(clock())
    }

    /**
     * Renews the lease, or opens one if there is none. Returns true if the entry has a lease now. Calls run one after
     * the other, so that they never open two leases.
     */
    private suspend fun renewLease(): Boolean = renewal.withLock {
        val requestedAt = clock()
        val held = lease
        val reply = store(if (held == null) StoreCommand.Grant(LEASE_TTL) else StoreCommand.Renew(held))
        when (reply) {
            is StoreReply.Lease -> {
                outageLog.onAnswer()
                lease = reply.id
                duty.onLease(requestedAt + reply.ttl - CLOCK_MARGIN)
            }
            is StoreReply.Conflict -> dropLease("the lease has ended")
            else -> {
                outageLog.onFailure(reply)
                duty.onStoreUnavailable(clock())
            }
        }
        reply is StoreReply.Lease
    }

    private suspend fun register(): Boolean {
        if (isRegistered) return true
        // Without a lease the key would stay in the store after the end of this process.
        val held = lease ?: return false
        val put = StoreCommand.Put(ENTRIES / self.value, gossip.toString().encodeToByteArray(), null, held)
        when (val reply = store(put)) {
            is StoreReply.Written -> isRegistered = true
            is StoreReply.Conflict -> dropLease("the lease has ended")
            else -> outageLog.onFailure(reply)
        }
        return isRegistered
    }

    private suspend fun list() {
        val now = clock()
        val mayBeStale = now - changedAt > STABLE_TIME
        val listing = store.listAll(ROOT, mayBeStale)
        if (listing !is Listing.Complete) {
            changedAt = now
            return
        }
        val listed = listing.values.mapNotNull(::toEntry).toMap()
        addresses = if (completeAt?.let { now < it } ?: false) addresses + listed else listed
        if (self !in listed) onOwnEntryMissing(mayBeStale)
        val counted = RegisteredEntries.of(self, addresses)
        if (counted != registered) {
            logEvent("membership", "entries-counted", "entries" to counted.entries)
            changedAt = now
        }
        registered = counted
        val holder = listing.values.firstOrNull { it.key == DUTY }
        when {
            holder == null -> claimDuty(StoreRevision(0))
            isUnderEarlierLease(holder) -> claimDuty(holder.revision)
            else -> onHolder(ownTerm(holder))
        }
    }

    /** True if this process claimed the duty under a lease that it no longer uses. */
    private fun isUnderEarlierLease(holder: StoredValue): Boolean {
        val name = holder.value.decodeToString()
        return name.startsWith(processName) && name != holderName
    }

    /** Registers again in the next round, unless the listing may only be too old to show the entry. */
    private fun onOwnEntryMissing(mayBeStale: Boolean) {
        logEvent("membership", "own-entry-missing", "lease" to lease, "stale" to mayBeStale)
        changedAt = clock()
        if (!mayBeStale) isRegistered = false
    }

    /** Term of the duty if [holder] is this process, else null. */
    private fun ownTerm(holder: StoredValue): StorePosition? =
        position(holder.createRevision).takeIf { holder.value.decodeToString() == holderName }

    private fun position(revision: StoreRevision) = StorePosition(timelines.current, revision)

    /** Returns null if [value] is not a registered entry; the listing covers other keys too. */
    private fun toEntry(value: StoredValue): Pair<InstanceId, PeerAddress>? {
        val id = value.key.value.removePrefix("$ENTRIES/")
        if (id == value.key.value) return null
        val address = value.value.decodeToString().toPeerAddressOrNull()?.takeIf { it.isIpv4 && it.port > 0 }
        return address?.let { InstanceId(id) to it }
    }

    /** Claims the duty if its key is at revision [expected]; 0 if nobody holds it. */
    private suspend fun claimDuty(expected: StoreRevision) {
        val held = lease ?: return onHolder(null)
        val put = StoreCommand.Put(DUTY, holderName.encodeToByteArray(), expected, held)
        when (val reply = store(put)) {
            is StoreReply.Written -> onHolder(position(reply.revision))
            is StoreReply.Conflict -> onHolder(reply.current?.let(::ownTerm))
            else -> onHolder(null)
        }
    }

    private fun onHolder(term: StorePosition?) {
        if ((term != null) != (duty.term != null)) {
            logEvent("membership", if (term != null) "duty-taken" else "duty-lost", "duty" to DUTY, "term" to term)
        }
        duty.onHolder(term)
    }

    private fun dropLease(reason: String) {
        logEvent("membership", "lease-lost", "lease" to lease, "reason" to reason)
        lease = null
        isRegistered = false
        onHolder(null)
    }

    private companion object {
        /** Another entry can take the duty over this long after the last renewal by its holder. */
        val LEASE_TTL: Duration = 3.seconds

        /** Three renewals fit into [LEASE_TTL]. */
        val PERIOD: Duration = 1.seconds

        /**
         * If the list of entries has not changed for this long, stale reads are good enough. Entries that start at the
         * same time appear in it within this time.
         */
        val STABLE_TIME: Duration = 5.seconds

        /** Within this time after a restore of the store every entry notices it and registers again. */
        val REGISTRATION_TIME: Duration = 2.seconds

        const val HEXADECIMAL = 16

        /** Possible drift between the clocks of the store and of this process during [LEASE_TTL]. */
        val CLOCK_MARGIN: Duration = 100.milliseconds
    }
}
