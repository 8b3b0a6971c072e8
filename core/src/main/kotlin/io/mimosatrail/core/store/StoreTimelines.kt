package io.mimosatrail.core.store

import io.mimosatrail.core.id.StoreTimeline

/** The timeline of the store, as its replies show it. Not thread-safe. */
class StoreTimelines {
    private val listeners = mutableListOf<(StoreTimeline) -> Unit>()

    /** The newest timeline that a reply has shown; the first one until then. */
    var current = StoreTimeline(0)
        private set

    private var isKnown = false

    /** Calls [listener] with the new timeline as soon as a reply shows that the store was restored from a backup. */
    fun onRestored(listener: (StoreTimeline) -> Unit) {
        listeners += listener
    }

    /** Records the timeline of a reply. */
    fun onReply(timeline: StoreTimeline) {
        val isRestored = isKnown && timeline > current
        if (!isKnown || timeline > current) current = timeline
        isKnown = true
        if (isRestored) listeners.forEach { it(timeline) }
    }
}
