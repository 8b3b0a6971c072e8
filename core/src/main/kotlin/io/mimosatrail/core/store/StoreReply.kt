package io.mimosatrail.core.store

import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import kotlin.time.Duration

/** Reply to a [StoreCommand]. */
sealed interface StoreReply {
    /** Reply to [StoreCommand.Get]; [value] is null if the key is absent. */
    data class Value(val value: StoredValue?) : StoreReply

    /**
     * Reply to [StoreCommand.List]. [more] is true if further keys follow. [revision] is the store's revision at the
     * time of the read, or 0 if the store does not report it.
     */
    data class Values(
        val values: List<StoredValue>,
        val more: Boolean,
        val revision: StoreRevision = StoreRevision(0),
    ) : StoreReply

    /** The write took effect at [revision]. */
    data class Written(val revision: StoreRevision) : StoreReply

    /** The condition did not hold and nothing was written; [current] is the stored value, null if the key is absent. */
    data class Conflict(val current: StoredValue?) : StoreReply

    /** Changes up to [revision]. [compacted] means that older changes were discarded, so the prefix must be listed. */
    data class Changes(val changes: List<StoreChange>, val revision: StoreRevision, val compacted: Boolean = false) :
        StoreReply

    /** The lease lasts for [ttl] from the time at which the command was sent. */
    data class Lease(val id: LeaseId, val ttl: Duration) : StoreReply

    /** The command did not take effect and never will. */
    data class NotDone(val detail: String) : StoreReply

    /** No reply was received: a write may have taken effect, or may still do so. */
    data class Uncertain(val detail: String) : StoreReply
}

/** A change of one key, as reported by a watch; [value] is null if the key was deleted. */
data class StoreChange(val key: StoreKey, val value: StoredValue?, val revision: StoreRevision)
