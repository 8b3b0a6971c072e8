package io.mimosatrail.core.waiting

import io.mimosatrail.core.rank.Rank

/**
 * Divides turns between the ranks of a service: the highest that waits has three of four, and the fourth goes to the
 * lower rank that was served the longest ago. With two ranks this is always the lowest one; with more, those between
 * the highest and the lowest would starve if all fourth turns went to the lowest. A fourth turn that can't be used, as
 * there is no room for that request, stays due. Not thread-safe.
 */
internal class TurnOrder private constructor(private val lastTurns: HashMap<Rank, Long>) {
    private var turn = 0L

    /** Turns in succession that went to a rank while a lower one waited. */
    private var successive = 0

    constructor() : this(HashMap())

    /** True if the next turn belongs to a lower rank than the highest that waits. */
    val isLowerDue: Boolean get() = successive >= HIGHEST_TURNS

    /** The rank in [waiting], which is sorted and not empty, that has the next turn. */
    fun next(waiting: List<Rank>): Rank {
        if (!isLowerDue || waiting.size == 1) return waiting.first()
        return waiting.asReversed().dropLast(1).minBy { lastTurns[it] ?: -1 }
    }

    /** Records that a request of [rank] was served while requests of the ranks in [waiting] wait, which is sorted. */
    fun onServed(rank: Rank, waiting: List<Rank>) {
        lastTurns[rank] = turn++
        val hasPassedOthers = waiting.isNotEmpty() && rank <= waiting.first() && waiting.last() > rank
        successive = if (hasPassedOthers) successive + 1 else 0
    }

    /** A copy, for a forecast. */
    fun copy(): TurnOrder = TurnOrder(HashMap(lastTurns)).also {
        it.turn = turn
        it.successive = successive
    }

    private companion object {
        /** Of four turns. */
        const val HIGHEST_TURNS = 3
    }
}
