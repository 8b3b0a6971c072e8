package io.mimosatrail.store.ticket

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.store.StoreKey

/** Digits of a revision in a key; keeps the store's key order equal to the order of revisions. */
private const val REVISION_DIGITS = 12

/** Keys of the configuration in the store. */
object ConfigKeys {
    /** Every accepted ticket, by revision. */
    val LOG: StoreKey = StoreKey("config/log/")

    /** Shards of snapshots. */
    internal val SNAPSHOTS: StoreKey = StoreKey("config/snapshot/")

    /** Names the newest snapshot. */
    internal val MANIFEST: StoreKey = StoreKey("config/manifest")

    fun record(revision: ConfigRevision): StoreKey = StoreKey(LOG.value + revision.padded())

    internal fun shard(revision: ConfigRevision, writer: String, number: Int): StoreKey =
        StoreKey("${SNAPSHOTS.value}${revision.padded()}/$writer/${number.toString().padStart(4, '0')}")

    private fun ConfigRevision.padded() = value.toString().padStart(REVISION_DIGITS, '0')
}
