package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/**
 * Number of a timeline of the platform's store. A restore from a backup begins a new one, in which writes of the one
 * before are missing. Revisions and leases of different timelines cannot be compared.
 */
@Serializable
@JvmInline
value class StoreTimeline(val value: Long) : Comparable<StoreTimeline> {
    override fun compareTo(other: StoreTimeline): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        /** Before the first reply, and for stores that do not report their timeline. */
        val UNKNOWN = StoreTimeline(-1)
    }
}
