package io.mimosatrail.standins.store

import kotlinx.serialization.Serializable

/**
 * Faults of the store.
 *
 * With [outage] the store responds with 503 and ends waiting watches. [delayMillis] delays each call.
 *
 * The other faults each apply to the given number of next writes of keys that start with [prefix]. [closedAfterEffect]
 * closes the connection without a response after the write took effect. [timeoutsAfterEffect] responds with 504 after
 * the write took effect, and [timeoutsBeforeEffect] responds with 504 without performing it.
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
