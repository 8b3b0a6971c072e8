package io.mimosatrail.core.rank

/** How urgent a request is by the operators' configuration; 0 is the highest rank. */
@JvmInline
value class Rank(val value: Int) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
