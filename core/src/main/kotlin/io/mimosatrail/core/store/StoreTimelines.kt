package io.mimosatrail.core.store

import io.mimosatrail.core.id.StoreTimeline

/** The timeline of the store, as its replies show it. Not thread-safe. */
class StoreTimelines {
    private val listeners = mutableListOf<(StoreTimeline) -> Unit>()

    /** The newest timeline that a reply has shown, or [StoreTimeline.UNKNOWN]. */
    var current = StoreTimeline.UNKNOWN
        private set

    /** Calls [listener] with the new timeline as soon as a reply shows that the store was restored from a backup. */
    fun onRestored(listener: (StoreTimeline) -> Unit) {
        listeners += listener
    }

    /**
     * Records that a reply shows [timeline]; null if it shows none. Returns false if the store has been restored since
     * it sent the reply.
     */
    fun accept(timeline: StoreTimeline?): Boolean {
        if (timeline == null) return true
        if (timeline > current) begin(timeline)
        return timeline == current
    }

    /** True if the store is not known to have been restored since [timeline] was [current]. */
    fun isCurrent(timeline: StoreTimeline): Boolean = timeline == StoreTimeline.UNKNOWN || timeline == current

    /**
     * Passes calls on to [call]. The reply to one that was made before a restore is uncertain, also if it waited for a
     * rate limit and was sent after it: what it read may be gone, and what it wrote may be gone or be based on a
     * revision or lease that has been given out again.
     */
    fun guard(call: StoreCall): StoreCall = { command ->
        val calledIn = current
        val reply = call(command)
        if (isCurrent(calledIn)) reply else restored
    }

    private fun begin(timeline: StoreTimeline) {
        val isRestore = current != StoreTimeline.UNKNOWN
        current = timeline
        if (isRestore) listeners.forEach { it(timeline) }
    }

    private companion object {
        val restored = StoreReply.Uncertain("the store was restored from a backup since the call was made")
    }
}
