package io.mimosatrail.core.quarantine

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Counts events of the last [WINDOW], or of somewhat less. */
internal class RecentCount {
    private var since = Moment(0)
    private var current = 0
    private var previous = 0

    fun add(now: Moment) {
        rotate(now)
        current++
    }

    fun value(now: Moment): Int {
        rotate(now)
        return current + previous
    }

    private fun rotate(now: Moment) {
        val age = now - since
        if (age < WINDOW / 2) return
        previous = if (age < WINDOW) current else 0
        current = 0
        since = now
    }

    companion object {
        val WINDOW: Duration = 60.seconds
    }
}
