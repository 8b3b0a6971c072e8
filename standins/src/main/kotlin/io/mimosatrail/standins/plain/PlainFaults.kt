package io.mimosatrail.standins.plain

import kotlinx.serialization.Serializable

/**
 * Faults of the plain service.
 *
 * [answerDelayMillis] delays each response after the work is done. With [dead] the service closes all connections
 * without a response.
 *
 * The other faults each apply to the given number of next `POST` calls:
 * - [closedAfterRecord]: the call is recorded and its connection closed without a response
 * - [errorsAfterRecord]: the call is recorded and answered with 500
 * - [silentAfterRecord]: the call is recorded and gets no response as long as the stand-in runs
 * - [errorsBeforeRecord]: the call is answered with 500 and not recorded
 * - [closedBeforeRecord]: the connection is closed without a response and the call is not recorded
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
