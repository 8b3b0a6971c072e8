package io.mimosatrail.core.time

/** Returns the current [Moment]; tests pass a virtual clock. */
typealias Clock = () -> Moment

/** Monotonic clock of this process. */
val systemClock: Clock = { Moment(System.nanoTime()) }
