package io.mimosatrail.store.ticket

import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.store.StoreKey

/** Digits of a zero-padded revision in a key, so that the store's key order is the order of revisions. */
private const val REVISION_DIGITS = 12

/** Keys under which the configuration is stored. */
object ConfigKeys {
    /** Prefix of the records of accepted tickets, one key per revision. */
    val LOG: StoreKey = StoreKey("config/log/")

    /** Prefix of the shards of snapshots. */
    internal val SNAPSHOTS: StoreKey = StoreKey("config/snapshot/")

    /** Key of the manifest of the newest snapshot. */
    internal val MANIFEST: StoreKey = StoreKey("config/manifest")

    fun record(revision: ConfigRevision): StoreKey = StoreKey(LOG.value + revision.padded())

    internal fun shard(revision: ConfigRevision, writer: String, number: Int): StoreKey =
        StoreKey("${SNAPSHOTS.value}${revision.padded()}/$writer/${number.toString().padStart(4, '0')}")

    private fun ConfigRevision.padded() = value.toString().padStart(REVISION_DIGITS, '0')
}
