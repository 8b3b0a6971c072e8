package io.mimosatrail.standins.faults

/** Step at which a blocked handler looks again, in milliseconds. */
private const val POLL_MILLIS = 5L

/** Blocks the calling thread while [condition] holds. */
internal fun blockWhile(condition: () -> Boolean) {
    while (condition()) {
        Thread.sleep(POLL_MILLIS)
    }
}

/** Blocks the calling thread for [millis]. */
internal fun delayBy(millis: Long) {
    if (millis > 0) Thread.sleep(millis)
}
