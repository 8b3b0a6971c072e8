package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Fencing token of a lease holder: grows with each new holder and is sent with each order. */
@Serializable
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
