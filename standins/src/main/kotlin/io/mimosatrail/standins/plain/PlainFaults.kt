package io.mimosatrail.standins.plain

import kotlinx.serialization.Serializable

/**
 * Faults of the plain service; the counted ones are spent by the calls that make a record.
 *
 * [answerDelayMillis] delays each answer until after the work. [closedAfterRecord] calls are recorded and then lose
 * their connection, [errorsAfterRecord] are recorded and answered 500, and [silentAfterRecord] are recorded and never
 * answered (until the stand-in stops). [errorsBeforeRecord] are answered 500 and [closedBeforeRecord]
 * lose their connection, both without record. [dead] closes every connection.
 */
@Serializable
data class PlainFaults(
    val answerDelayMillis: Long = 0,
    val closedAfterRecord: Int = 0,
    val errorsAfterRecord: Int = 0,
    val silentAfterRecord: Int = 0,
    val errorsBeforeRecord: Int = 0,
    val closedBeforeRecord: Int = 0,
    val dead: Boolean = false,
)
