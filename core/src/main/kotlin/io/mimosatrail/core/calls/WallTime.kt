package io.mimosatrail.core.calls

import io.mimosatrail.core.time.Moment
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Wall-clock time in milliseconds since 1970; used only for how long claims are kept. */
@Serializable
@JvmInline
value class WallTime(val millis: Long) : Comparable<WallTime> {
    operator fun minus(duration: Duration): WallTime = WallTime(millis - duration.inWholeMilliseconds)

    override fun compareTo(other: WallTime): Int = millis.compareTo(other.millis)
}

/** One reading of both clocks of a process. */
data class CallTime(val now: Moment, val wall: WallTime)
