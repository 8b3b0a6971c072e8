package io.mimosatrail.core.rank

/** How soon an upstream admits a waiting request compared with others, from 0 (first) to 9 (last). */
@JvmInline
value class Urgency(val value: Int) {
    init {
        require(value in 0..LAST) { "urgency $value is not in 0..$LAST" }
    }

    override fun toString(): String = value.toString()

    private companion object {
        const val LAST = 9
    }
}

/** The steps outside this range leave room for resumed streams, and for requests that are not of any rank. */
private const val HIGHEST = 2
private const val LOWEST = 8

/**
 * The urgency of a request of [rank] to a service whose requests have [ranks], the highest first, or null if these are
 * fewer than two. The ranks are spread evenly over the urgencies 2 to 8; with more than seven ranks, some share one. A
 * rank that is not among [ranks] has the urgency of the next lower one, or else of the lowest.
 *
 * A stream that has begun and [isResumed] is one step more urgent, since its caller already reads it.
 */
fun urgencyOf(rank: Rank, ranks: List<Rank>, isResumed: Boolean): Urgency? {
    if (ranks.size < 2) return null
    val index = ranks.count { it < rank }.coerceAtMost(ranks.lastIndex)
    val ofRank = HIGHEST + index * (LOWEST - HIGHEST) / ranks.lastIndex
    return Urgency(if (isResumed) ofRank - 1 else ofRank)
}
