package io.mimosatrail.gateway.forward

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/** Timing of one streamed response, for the log. [receivedAt] is when its request was received. */
internal class StreamTiming(private val receivedAt: Moment) {
    private var lastEventAt: Moment? = null

    /** Time from the request to the first event, or null before that event. */
    var firstEventAfter: Duration? = null
        private set

    /** Longest pause between two events, or null before the second event. */
    var longestPause: Duration? = null
        private set

    /** Time from the request to the end of the longest pause, or null before the second event. */
    var longestPauseEndedAfter: Duration? = null
        private set

    /** Records that an event is passed on at [now]. */
    fun onEvent(now: Moment) {
        val previous = lastEventAt
        lastEventAt = now
        if (previous == null) {
            firstEventAfter = now - receivedAt
            return
        }
        val pause = now - previous
        if (longestPause?.let { pause <= it } ?: false) return
        longestPause = pause
        longestPauseEndedAfter = now - receivedAt
    }

    /** The measured times as fields of a log line. */
    fun logFields(): Array<Pair<String, Any?>> = arrayOf(
        "first-after" to firstEventAfter,
        "longest-pause" to longestPause,
        "pause-ended" to longestPauseEndedAfter,
    )
}
