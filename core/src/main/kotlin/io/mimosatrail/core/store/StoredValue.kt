package io.mimosatrail.core.store

import io.mimosatrail.core.id.StoreRevision

/** A value read from the store, with the [revision] of its last write and that of its creation. */
class StoredValue(
    val key: StoreKey,
    val value: ByteArray,
    val revision: StoreRevision,
    val createRevision: StoreRevision,
) {
    override fun toString(): String = "$key@$revision (${value.size} bytes)"
}
