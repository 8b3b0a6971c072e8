package io.mimosatrail.standins.store

import kotlinx.serialization.Serializable

@Serializable
internal data class EntryBody(val key: String, val value: String, val revision: Long, val createRevision: Long)

@Serializable
internal data class GetBody(val entry: EntryBody?)

@Serializable
internal data class ListBody(val entries: List<EntryBody>, val more: Boolean)

@Serializable
internal data class PutBody(val value: String, val expected: Long? = null, val lease: Long? = null)

@Serializable
internal data class RevisionBody(val revision: Long)

@Serializable
internal data class ConflictBody(val error: String, val entry: EntryBody?)

@Serializable
internal data class ChangeBody(val key: String, val entry: EntryBody?, val revision: Long)

@Serializable
internal data class WatchBody(val changes: List<ChangeBody>, val revision: Long, val compacted: Boolean)

@Serializable
internal data class LeaseRequestBody(val ttl: Long)

@Serializable
internal data class LeaseBody(val lease: Long, val ttl: Long)

/** Calls that the store took, by kind; a waiting watch counts once. */
@Serializable
data class StoreStats(val calls: Map<StoreCallKind, Long>) {
    val total: Long get() = calls.values.sum()
}
