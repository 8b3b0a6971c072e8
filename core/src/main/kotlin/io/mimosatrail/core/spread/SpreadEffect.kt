package io.mimosatrail.core.spread

import io.mimosatrail.core.id.InstanceId

/** What the host has to do for the spread; each but [Notify] is answered by one event. */
sealed interface SpreadEffect {
    /** Read the log to its end; answered by [ConfigSpread.onStoreRead]. */
    data object ReadStore : SpreadEffect

    /** Wait for a change of the log; answered by [ConfigSpread.onWatchEnded]. */
    data object WatchStore : SpreadEffect

    /** Ask [from] for what follows; answered by [ConfigSpread.onFetched] or [ConfigSpread.onFetchFailed]. */
    data class Fetch(val from: InstanceId) : SpreadEffect

    /** Send each of [to] a message that carries the revision. */
    data class Notify(val to: List<InstanceId>) : SpreadEffect
}
