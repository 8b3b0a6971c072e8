package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Attempt number of a request; incremented each time its chain of pipeline stages changes. */
@Serializable
@JvmInline
value class Generation(val value: Int) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = value.compareTo(other.value)

    /** The value that follows this one. */
    fun next(): Generation = Generation(value + 1)

    override fun toString(): String = value.toString()
}
