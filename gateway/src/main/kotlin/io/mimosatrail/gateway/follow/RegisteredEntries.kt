package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress

/** The registered entries: their number, the ids of all, this one included, and the gossip addresses of the others. */
internal data class RegisteredEntries(val entries: Int, val ids: Set<InstanceId>, val peers: List<PeerAddress>) {
    companion object {
        /** Assumed before the first listing: the size of a small deployment. */
        val INITIAL = RegisteredEntries(4, emptySet(), emptyList())

        /** Excludes [self] from the peers; [addresses] are the gossip addresses of all registered entries. */
        fun of(self: InstanceId, addresses: Map<InstanceId, PeerAddress>): RegisteredEntries {
            val ids = addresses.keys + self
            return RegisteredEntries(ids.size, ids, addresses.filterKeys { it != self }.values.toList())
        }
    }
}
