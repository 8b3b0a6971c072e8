package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Number of an ownership period of a slot owner. Each epoch has a journal of its own; later epochs are greater. */
@Serializable
@JvmInline
value class Epoch(val value: Long) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    /** The value that follows this one. */
    fun next(): Epoch = Epoch(value + 1)

    override fun toString(): String = value.toString()
}
