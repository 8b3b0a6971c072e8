package io.mimosatrail.core.spread

import io.mimosatrail.core.id.InstanceId

/** Work for the host of a [ConfigSpread]. The host reports the end of each effect but [Notify] with one event. */
sealed interface SpreadEffect {
    /** Read the log to its end, then call [ConfigSpread.onStoreRead]. */
    data object ReadStore : SpreadEffect

    /** Wait for a change of the log, then call [ConfigSpread.onWatchEnded]. */
    data object WatchStore : SpreadEffect

    /**
     * Fetch the revisions after this process's own from [from], then call [ConfigSpread.onFetched] or
     * [ConfigSpread.onFetchFailed].
     */
    data class Fetch(val from: InstanceId) : SpreadEffect

    /** Send each of [to] a message that carries this process's revision. */
    data class Notify(val to: List<InstanceId>) : SpreadEffect
}
