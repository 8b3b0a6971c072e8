package io.mimosatrail.core.id

import kotlinx.serialization.Serializable

/** Position in the configuration log; 0 is before the first ticket. */
@Serializable
@JvmInline
value class ConfigRevision(val value: Long) : Comparable<ConfigRevision> {
    override fun compareTo(other: ConfigRevision): Int = value.compareTo(other.value)

    /** The value that follows this one. */
    fun next(): ConfigRevision = ConfigRevision(value + 1)

    override fun toString(): String = value.toString()
}
