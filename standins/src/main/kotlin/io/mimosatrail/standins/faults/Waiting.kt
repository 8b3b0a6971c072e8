package io.mimosatrail.standins.faults

/** Interval at which a blocked thread checks its condition again. */
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
