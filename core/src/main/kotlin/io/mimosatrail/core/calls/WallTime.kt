package io.mimosatrail.core.calls

import io.mimosatrail.core.time.Moment
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Wall-clock time in milliseconds since the Unix epoch. Used only for the retention of claims. */
@Serializable
@JvmInline
value class WallTime(val millis: Long) : Comparable<WallTime> {
    operator fun minus(duration: Duration): WallTime = WallTime(millis - duration.inWholeMilliseconds)

    override fun compareTo(other: WallTime): Int = millis.compareTo(other.millis)
}

/** Simultaneous readings of the process's monotonic clock, [now], and its wall clock, [wall]. */
data class CallTime(val now: Moment, val wall: WallTime)
