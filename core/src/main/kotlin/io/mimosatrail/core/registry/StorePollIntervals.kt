package io.mimosatrail.core.registry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How often each entry calls the store. A few entries list the registry at the [SHORTEST] interval; with more entries
 * the interval grows, so that the load of the store grows more slowly than their number. It stays short enough that
 * entries see a leaving upstream within [drainNotice] and a new configuration within [configurationBound].
 */
class StorePollIntervals(drainNotice: Duration, configurationBound: Duration) {
    private val longest = (drainNotice * SHARE_OF_NOTICE).coerceAtLeast(SHORTEST)

    /** How long one watch call for the configuration may wait for a change before it is repeated. */
    val watchWait: Duration = LONGEST_WATCH

    /**
     * Time between two attempts to read the configuration while something shows that the watch may not be answered:
     * another call without an answer, or another entry with a newer configuration.
     */
    val rereadPause: Duration = (configurationBound * SHARE_OF_BOUND).coerceIn(SHORTEST, LONGEST_REREAD_PAUSE)

    /** Time between two listings of the registry by one entry, if there are [entries] entries. */
    fun listingInterval(entries: Int): Duration = (SHORTEST * entries / FEW_ENTRIES).coerceIn(SHORTEST, longest)

    private companion object {
        /** Two listings and a retry fit into two seconds, the shortest notice that a leaving upstream gives. */
        val SHORTEST = 700.milliseconds

        /** Up to this number of entries each lists at the shortest interval. */
        const val FEW_ENTRIES = 4

        /** Two listings fit into the notice that a leaving upstream gives. */
        const val SHARE_OF_NOTICE = 0.5

        /** A read has to be done twice within the bound. */
        const val SHARE_OF_BOUND = 0.25
        val LONGEST_REREAD_PAUSE = 1_000.milliseconds

        /** A watch that is never answered is noticed by other means within a second or two. */
        val LONGEST_WATCH = 10_000.milliseconds
    }
}
