package io.mimosatrail.gateway.forward

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** How evenly the parts of one answer came, for the log. [receivedAt] is the moment at which its request was read. */
internal class AnswerPace(private val receivedAt: Moment) {
    private var last: Moment? = null

    /** Time from the request to the first part, or null before it. */
    var firstAfter: Duration? = null
        private set

    /** Longest pause between two parts, or null before the second. */
    var longestPause: Duration? = null
        private set

    /** Time from the request to the end of the longest pause. */
    var longestPauseAfter: Duration? = null
        private set

    /** Notes a part that is passed on at [now]. */
    fun onPart(now: Moment) {
        val previous = last
        last = now
        if (previous == null) {
            firstAfter = now - receivedAt
            return
        }
        val pause = now - previous
        if (longestPause?.let { pause <= it } ?: false) return
        longestPause = pause
        longestPauseAfter = now - receivedAt
    }

    /** The figures as fields of a log line. */
    fun fields(): Array<Pair<String, Any?>> =
        arrayOf("first-after" to firstAfter, "longest-pause" to longestPause, "pause-ended" to longestPauseAfter)
}
