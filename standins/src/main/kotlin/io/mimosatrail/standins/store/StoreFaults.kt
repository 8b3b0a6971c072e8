package io.mimosatrail.standins.store

import kotlinx.serialization.Serializable

/**
 * Faults of the store.
 *
 * [outage] answers 503 and ends waiting watches. [closedAfterEffect] counts the writes to come whose answer is lost by
 * a closed connection after they took effect, [timeoutsAfterEffect] those answered 504 after they took effect, and
 * [timeoutsBeforeEffect] those answered 504 without effect; each holds for keys that start with [prefix] only.
 * [delayMillis] is added before each call.
 */
@Serializable
data class StoreFaults(
    val outage: Boolean = false,
    val closedAfterEffect: Int = 0,
    val timeoutsAfterEffect: Int = 0,
    val timeoutsBeforeEffect: Int = 0,
    val prefix: String = "",
    val delayMillis: Long = 0,
)
