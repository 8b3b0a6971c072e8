package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Monotonic number of a lease holder, carried by each order. */
@Serializable
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
