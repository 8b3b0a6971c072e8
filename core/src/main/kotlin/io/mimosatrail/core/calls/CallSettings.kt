package io.mimosatrail.core.calls

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the claim journal.
 *
 * All owners of a service together append [writesPerSecond] records and delete as many. A claim waits up to
 * [storePatience] for the store. An outcome waits up to [outcomeDelay] for claims to share its record. Keys are
 * remembered for [retention].
 */
data class CallSettings(
    val writesPerSecond: Int = 45,
    val storePatience: Duration = 2.seconds,
    val storeRetry: Duration = 100.milliseconds,
    val outcomeDelay: Duration = 100.milliseconds,
    val retention: Duration = 1.hours,
    val maxClaims: Int = 250_000,
    val maxRecordEntries: Int = 1_000,
    val maxRecordBytes: Int = 128 * 1024,
    val maxAnswerBytes: Int = 64 * 1024,
    val maxKeptBytes: Long = 32L * 1024 * 1024,
)
