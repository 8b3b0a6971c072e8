package io.mimosatrail.gateway.follow

import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreReply
import io.mimosatrail.core.store.StoredValue

/** Result of listing a prefix. */
internal sealed interface Listing {
    /** All values under the prefix. */
    data class Complete(val values: List<StoredValue>) : Listing

    /** A page could not be read; [reply] is what the store replied for it. */
    data class Failed(val reply: StoreReply) : Listing
}

/** Lists all values under [prefix], page by page. With [mayBeStale] they may be several seconds old. */
internal suspend fun StoreCall.listAll(prefix: StoreKey, mayBeStale: Boolean = false): Listing {
    val values = mutableListOf<StoredValue>()
    var after: StoreKey? = null
    while (true) {
        val reply = this(StoreCommand.List(prefix, after, mayBeStale = mayBeStale))
        if (reply !is StoreReply.Values) return Listing.Failed(reply)
        values += reply.values
        if (!reply.more || reply.values.isEmpty()) return Listing.Complete(values)
        after = reply.values.last().key
    }
}
