package io.mimosatrail.core.waiting

import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Rate at which requests left a queue for a target in the last 2 s. Only time in which requests waited counts: an empty
 * queue says nothing about the room that there was. Not thread-safe.
 */
internal class DepartureRate {
    private val departures = RecentSum(WINDOW)
    private val waitingNanos = RecentSum(WINDOW)
    private var waitingSince: Moment? = null

    /** Records that requests wait from [now] on, or that none does. */
    fun onWaiting(isWaiting: Boolean, now: Moment) {
        waitingSince?.let { waitingNanos.add((now - it).inWholeNanoseconds, now) }
        waitingSince = if (isWaiting) now else null
    }

    /** Records that a request left the queue for a target. */
    fun onDeparture(now: Moment) = departures.add(1, now)

    /** Requests per second, or null if none left or requests waited too short a time to tell. */
    fun perSecond(now: Moment): Double? {
        onWaiting(waitingSince != null, now)
        val count = departures.sum(now)
        val waited = waitingNanos.sum(now).nanoseconds
        return if (count == 0L || waited < MIN_TIME) null else count / waited.toDouble(DurationUnit.SECONDS)
    }

    private companion object {
        val WINDOW: Duration = 2.seconds

        /** A few requests in a shorter time would give a rate that refuses requests by chance. */
        val MIN_TIME = 500.milliseconds
    }
}
