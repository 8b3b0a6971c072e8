package io.mimosatrail.core.time

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A reading of the process's monotonic clock, in nanoseconds; comparable only within one process. */
@Serializable
@JvmInline
value class Moment(val nanos: Long) : Comparable<Moment> {
    operator fun plus(duration: Duration): Moment = Moment(nanos + duration.inWholeNanoseconds)

    operator fun minus(duration: Duration): Moment = Moment(nanos - duration.inWholeNanoseconds)

    operator fun minus(other: Moment): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Moment): Int = nanos.compareTo(other.nanos)
}
