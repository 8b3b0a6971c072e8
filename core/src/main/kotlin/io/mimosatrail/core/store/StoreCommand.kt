package io.mimosatrail.core.store

import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import kotlin.time.Duration

/** A call to the platform's store. Each one counts against the store's call budget. */
sealed interface StoreCommand {
    /** Reads one key; replied by [StoreReply.Value]. */
    data class Get(val key: StoreKey) : StoreCommand

    /**
     * Reads up to [limit] keys under [prefix] in key order, starting after the key [after]; replied by
     * [StoreReply.Values]. With [mayBeStale] the store may use a cheaper read, whose reply may be seconds old.
     */
    data class List(
        val prefix: StoreKey,
        val after: StoreKey? = null,
        val limit: Int = 100,
        val mayBeStale: Boolean = false,
    ) : StoreCommand

    /**
     * Writes [value] if the key is at revision [expected] (0: the key is absent; null: unconditionally); replied by
     * [StoreReply.Written] or [StoreReply.Conflict]. With [lease] the key is deleted when the lease ends.
     */
    class Put(val key: StoreKey, val value: ByteArray, val expected: StoreRevision?, val lease: LeaseId? = null) :
        StoreCommand

    /**
     * Deletes the key if it is at revision [expected] (null: unconditionally); replied by [StoreReply.Written] or
     * [StoreReply.Conflict].
     */
    data class Delete(val key: StoreKey, val expected: StoreRevision?) : StoreCommand

    /** Waits up to [wait] for changes under [prefix] later than revision [after]; replied by [StoreReply.Changes]. */
    data class Watch(val prefix: StoreKey, val after: StoreRevision, val wait: Duration) : StoreCommand

    /** Opens a lease that ends [ttl] after its last renewal; replied by [StoreReply.Lease]. */
    data class Grant(val ttl: Duration) : StoreCommand

    /** Renews a lease; replied by [StoreReply.Lease], or by [StoreReply.Conflict] if it has ended. */
    data class Renew(val lease: LeaseId) : StoreCommand

    /** Ends a lease and deletes its keys; replied by [StoreReply.Written]. */
    data class Revoke(val lease: LeaseId) : StoreCommand
}
