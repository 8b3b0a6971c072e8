package io.mimosatrail.core.store

import io.mimosatrail.core.id.LeaseId
import io.mimosatrail.core.id.StoreRevision
import kotlin.time.Duration

/** Reply to a [StoreCommand]. */
sealed interface StoreReply {
    /** [value] is null where the key is absent. */
    data class Value(val value: StoredValue?) : StoreReply

    /** [more] is true where further keys follow. [revision] is the store's at the time, 0 where it does not say. */
    data class Values(
        val values: List<StoredValue>,
        val more: Boolean,
        val revision: StoreRevision = StoreRevision(0),
    ) : StoreReply

    /** The write took effect at [revision]. */
    data class Written(val revision: StoreRevision) : StoreReply

    /** The condition did not hold and nothing was written; [current] is what stands there, null if absent. */
    data class Conflict(val current: StoredValue?) : StoreReply

    /** Changes up to [revision]; [compacted] means that older changes are gone and the prefix must be listed. */
    data class Changes(val changes: List<StoreChange>, val revision: StoreRevision, val compacted: Boolean = false) :
        StoreReply

    /** The lease runs [ttl] from when the command was sent. */
    data class Lease(val id: LeaseId, val ttl: Duration) : StoreReply

    /** The command did not take effect and never will. */
    data class NotDone(val detail: String) : StoreReply

    /** No answer came: a write may have taken effect, or may still. */
    data class Uncertain(val detail: String) : StoreReply
}

/** One change seen by a watch; [value] is null where the key was deleted. */
data class StoreChange(val key: StoreKey, val value: StoredValue?, val revision: StoreRevision)
