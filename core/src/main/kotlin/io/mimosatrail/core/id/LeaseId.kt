package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Identifies a lease in the platform store. */
@Serializable
@JvmInline
value class LeaseId(val value: Long) : Comparable<LeaseId> {
    override fun compareTo(other: LeaseId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
