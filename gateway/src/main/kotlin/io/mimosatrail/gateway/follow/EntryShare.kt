package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress

/** The entries that share the upstreams: [entries] in all, and the addresses of the others. */
internal data class EntryShare(val entries: Int, val peers: List<PeerAddress>) {
    companion object {
        /** Assumed before the first listing: a few entries, as on a small deployment. */
        val UNKNOWN = EntryShare(4, emptyList())

        /** Share of [self] among all registered entries. */
        fun of(self: InstanceId, addresses: Map<InstanceId, PeerAddress>) =
            EntryShare((addresses.keys + self).size, addresses.filterKeys { it != self }.values.toList())
    }
}
