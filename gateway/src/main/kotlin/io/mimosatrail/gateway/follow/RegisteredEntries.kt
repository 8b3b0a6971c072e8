package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress

/** The registered entries: their number, this one included, and the gossip addresses of the others. */
internal data class RegisteredEntries(val entries: Int, val peers: List<PeerAddress>) {
    companion object {
        /** Assumed before the first listing: the size of a small deployment. */
        val INITIAL = RegisteredEntries(4, emptyList())

        /** Excludes [self] from the peers; [addresses] are the gossip addresses of all registered entries. */
        fun of(self: InstanceId, addresses: Map<InstanceId, PeerAddress>) =
            RegisteredEntries((addresses.keys + self).size, addresses.filterKeys { it != self }.values.toList())
    }
}
