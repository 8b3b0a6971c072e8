package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Revision of a key in the platform store; 0 means the key is absent. */
@Serializable
@JvmInline
value class StoreRevision(val value: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
