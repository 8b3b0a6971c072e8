package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.store.StorePosition
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this entry may act for the placement duty, that is, send orders to engines.
 *
 * While the store is available, only the holder of the duty's key acts, and only until its lease may have expired.
 *
 * While the store is unavailable, nobody can take the duty over. Its holder therefore continues, unless a peer holds a
 * later term. If no peer holds the duty either, the entry with the lowest id among those that exchange messages acts.
 * Two entries may then act at the same time for a while. This is safe: both compute the plan from the same data, and an
 * engine accepts an order only if it has accepted no other since it was last queried.
 */
internal class DutyOwnership(private val self: InstanceId) {
    private class PeerState(val at: Moment, val term: StorePosition?)

    private val peers = HashMap<InstanceId, PeerState>()
    private var leaseExpiresAt: Moment? = null
    private var unavailableSince: Moment? = null

    /** Term of the duty if, according to the store, this entry holds it; else null. */
    var term: StorePosition? = null
        private set

    /** Records that the store answered and that the lease lasts at least until [expiresAt]. */
    fun onLease(expiresAt: Moment) {
        leaseExpiresAt = expiresAt
        unavailableSince = null
    }

    /** Records the holder read from the store: [term] is set if it is this entry, else null. */
    fun onHolder(term: StorePosition?) {
        this.term = term
    }

    /** Records that the store did not answer. */
    fun onStoreUnavailable(now: Moment) {
        if (unavailableSince == null) unavailableSince = now
    }

    /** Records a message of [peer]; [term] is set if the peer holds the duty. */
    fun onPeerMessage(peer: InstanceId, term: StorePosition?, now: Moment) {
        peers[peer] = PeerState(now, term)
    }

    /** True if this entry may send orders at [now]. */
    fun mayAct(now: Moment): Boolean {
        val since = unavailableSince ?: return term != null && leaseExpiresAt?.let { now < it } ?: false
        peers.values.removeIf { now - it.at > PEER_TIMEOUT }
        val latest = peers.values.mapNotNull { it.term }.maxOrNull()
        val own = term
        if (own != null) return latest == null || own > latest
        val isLowest = peers.isNotEmpty() && peers.keys.all { self.value < it.value }
        return latest == null && isLowest && now - since >= TAKEOVER_DELAY
    }

    private companion object {
        /** Several messages are sent within this time. */
        val PEER_TIMEOUT: Duration = 1_500.milliseconds

        /** A message of a live holder arrives within this time. */
        val TAKEOVER_DELAY: Duration = 2.seconds
    }
}
