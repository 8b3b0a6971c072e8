package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Number of a change ticket, chosen by the operators. */
@Serializable
@JvmInline
value class TicketNumber(val value: Long) : Comparable<TicketNumber> {
    override fun compareTo(other: TicketNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
