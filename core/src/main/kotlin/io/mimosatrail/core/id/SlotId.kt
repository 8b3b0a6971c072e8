package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Number of a hash slot of a service's idempotency keys. */
@Serializable
@JvmInline
value class SlotId(val value: Int) : Comparable<SlotId> {
    override fun compareTo(other: SlotId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
