package io.mimosatrail.core.registry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How often each entry asks the store. Few entries ask at [SHORTEST]; more ask less often, so that their calls grow
 * more slowly than their number, but often enough for what the deployment promises.
 */
class ListingPace(drainNotice: Duration, configurationBound: Duration) {
    private val longest = (drainNotice * SHARE_OF_NOTICE).coerceAtLeast(SHORTEST)

    /** How long a watch of the configuration waits; one that hears nothing for longer is asked again. */
    val watchWait: Duration = (configurationBound * SHARE_OF_BOUND).coerceIn(SHORTEST, LONGEST_WATCH)

    /** Time between two listings of the registry, where [entries] entries list it. */
    fun registryPeriod(entries: Int): Duration = (SHORTEST * entries / FEW_ENTRIES).coerceIn(SHORTEST, longest)

    private companion object {
        /** Two listings and a retry fit into the shortest notice that a leaving upstream gives, two seconds. */
        val SHORTEST = 700.milliseconds
        const val FEW_ENTRIES = 4

        /** Two listings fit into the notice that a leaving upstream gives. */
        const val SHARE_OF_NOTICE = 0.5

        /** After a watch that went deaf there is time for one read within the bound. */
        const val SHARE_OF_BOUND = 0.6
        val LONGEST_WATCH = 5_000.milliseconds
    }
}
