package io.mimosatrail.store.client

import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.store.StoreChange
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoredValue
import kotlinx.serialization.Serializable
import java.util.Base64

// JSON bodies of the store's HTTP API. Property names are the names in the JSON.

/** A stored key; [value] is Base64. */
@Serializable
internal class EntryJson(val key: String, val value: String, val revision: Long, val createRevision: Long) {
    fun toStoredValue() = StoredValue(
        StoreKey(key),
        Base64.getDecoder().decode(value),
        StoreRevision(revision),
        StoreRevision(createRevision),
    )
}

@Serializable
internal class ValueJson(val entry: EntryJson? = null)

@Serializable
internal class ValuesJson(val entries: List<EntryJson>, val more: Boolean)

/** [value] is Base64; [expected] is null for an unconditional write. */
@Serializable
internal class PutJson(val value: String, val expected: Long?, val lease: Long?)

@Serializable
internal class WrittenJson(val revision: Long)

/** [entry] is the current value, null if the key is absent. */
@Serializable
internal class ConflictJson(val entry: EntryJson? = null)

/** [entry] is null if the key was deleted. */
@Serializable
internal class ChangeJson(val key: String, val revision: Long, val entry: EntryJson? = null) {
    fun toStoreChange() = StoreChange(StoreKey(key), entry?.toStoredValue(), StoreRevision(revision))
}

@Serializable
internal class ChangesJson(val changes: List<ChangeJson>, val revision: Long, val compacted: Boolean = false)

/** [ttl] is in milliseconds. */
@Serializable
internal class GrantJson(val ttl: Long)

/** [ttl] is in milliseconds. */
@Serializable
internal class LeaseJson(val lease: Long, val ttl: Long)

@Serializable
internal class ErrorJson(val error: String = "", val detail: String = "")
