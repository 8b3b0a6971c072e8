package io.mimosatrail.standins.store

import kotlinx.serialization.Serializable

/** A key with its base64 [value] and the revisions of its last write and its creation. */
@Serializable
internal data class EntryBody(val key: String, val value: String, val revision: Long, val createRevision: Long)

@Serializable
internal data class GetBody(val entry: EntryBody?)

@Serializable
internal data class ListBody(val entries: List<EntryBody>, val more: Boolean)

/** Write of a base64 [value]. If [expected] is not null the key must have that revision, 0 for no such key. */
@Serializable
internal data class PutBody(val value: String, val expected: Long? = null, val lease: Long? = null)

@Serializable
internal data class RevisionBody(val revision: Long)

@Serializable
internal data class ConflictBody(val error: String, val entry: EntryBody?)

/** A change of a key. [entry] is null if the key was deleted. */
@Serializable
internal data class ChangeBody(val key: String, val entry: EntryBody?, val revision: Long)

@Serializable
internal data class WatchBody(val changes: List<ChangeBody>, val revision: Long, val compacted: Boolean)

/** Request of a lease with a time to live of [ttl] milliseconds. */
@Serializable
internal data class LeaseRequestBody(val ttl: Long)

@Serializable
internal data class LeaseBody(val lease: Long, val ttl: Long)

/** Number of calls to the store by kind. A waiting watch counts as one call. */
@Serializable
data class StoreStats(val calls: Map<StoreCallKind, Long>) {
    val total: Long get() = calls.values.sum()
}
