package io.mimosatrail.core.time

/** Reads the current [Moment]; tests pass a virtual one. */
typealias Clock = () -> Moment

/** Clock of this process. */
val systemClock: Clock = { Moment(System.nanoTime()) }
