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
     * Records that the reply to a call that was sent in the timeline [sentIn] shows [repliedIn]; null if it shows none.
     * Returns true if the reply holds. One to a call that was sent before a restore does not: what it read may be gone,
     * and what it wrote may be gone or be based on a revision or lease that means something else now.
     */
    fun accept(sentIn: StoreTimeline, repliedIn: StoreTimeline?): Boolean {
        if (repliedIn == null) return true
        if (repliedIn > current) begin(repliedIn)
        return repliedIn == current && (sentIn == repliedIn || sentIn == StoreTimeline.UNKNOWN)
    }

    /**
     * Passes calls on to [call]. The reply to one that was made before a restore is uncertain, also if it waited for a
     * rate limit and was sent after it.
     */
    fun guard(call: StoreCall): StoreCall = { command ->
        val calledIn = current
        val reply = call(command)
        if (calledIn == StoreTimeline.UNKNOWN || calledIn == current) reply else restored
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
