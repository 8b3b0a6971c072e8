package io.mimosatrail.gateway.follow

import io.mimosatrail.core.id.PlaceId

/** How many entries share the upstreams: [entries] in all, and [perPlace] on average of the places that have any. */
data class EntryShare(val entries: Int, val perPlace: Double) {
    companion object {
        /** Assumed before the first listing: a few entries, as on a small deployment. */
        val UNKNOWN = EntryShare(4, 2.0)

        /** Share for entries in [places], one element for each entry. */
        fun of(places: List<PlaceId>): EntryShare {
            if (places.isEmpty()) return UNKNOWN
            return EntryShare(places.size, places.size.toDouble() / places.distinct().size)
        }
    }
}
