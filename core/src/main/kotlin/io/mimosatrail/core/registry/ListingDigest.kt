package io.mimosatrail.core.registry

import kotlinx.serialization.Serializable

/** Hash of the content of a listing of the registry. Two listings with different digests differ. */
@Serializable
@JvmInline
value class ListingDigest(val hash: Long) {
    companion object {
        private const val FNV_OFFSET = -3750763034362895579L
        private const val FNV_PRIME = 1099511628211L

        /** The digest of [records], whatever their order. */
        fun of(records: Collection<UpstreamRecord>): ListingDigest = ListingDigest(records.sumOf { hash(it) })

        private fun hash(record: UpstreamRecord): Long {
            var hash = FNV_OFFSET
            for (char in record.toString()) hash = (hash xor char.code.toLong()) * FNV_PRIME
            return hash
        }
    }
}
