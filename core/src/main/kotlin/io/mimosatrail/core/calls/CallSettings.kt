package io.mimosatrail.core.calls

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the claim journal.
 *
 * All owners of a service together append at most [writesPerSecond] records per second and delete as many. A call is
 * refused if the store has not confirmed its claim within [storeTimeout]; an append without a reply is retried after
 * [storeRetryDelay]. An outcome waits up to [maxOutcomeDelay] for claims to share its record. Claims and answers are
 * kept for [retention]. An answer of more than [maxAnswerBytes] bytes, or one that would take all stored answers of an
 * owner beyond [maxKeptBytes], is not stored for replay.
 */
data class CallSettings(
    val writesPerSecond: Int = 45,
    val storeTimeout: Duration = 2.seconds,
    val storeRetryDelay: Duration = 100.milliseconds,
    val maxOutcomeDelay: Duration = 100.milliseconds,
    val retention: Duration = 1.hours,
    val maxClaims: Int = 250_000,
    val maxRecordEntries: Int = 1_000,
    val maxRecordBytes: Int = 128 * 1024,
    val maxAnswerBytes: Int = 64 * 1024,
    val maxKeptBytes: Long = 32L * 1024 * 1024,
)
