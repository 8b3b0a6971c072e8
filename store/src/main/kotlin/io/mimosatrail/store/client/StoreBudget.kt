package io.mimosatrail.store.client

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the calls of one process to the shared store.
 *
 * Reads and writes have separate rate limits, [readsPerSecond] and [writesPerSecond]. A burst may use up the calls of
 * [burstSeconds] at once. A call over its limit is delayed; if the delay would be longer than [maxWait], the call is
 * rejected without being sent.
 *
 * After [failuresToOpen] consecutive failures the circuit breaker opens: no call is sent for [openFor], plus or minus
 * a random jitter. The time doubles with each failed probe, up to [maxOpenFor].
 */
data class StoreBudget(
    val readsPerSecond: Double = 20.0,
    val writesPerSecond: Double = 100.0,
    val burstSeconds: Double = 2.0,
    val maxWait: Duration = 500.milliseconds,
    val failuresToOpen: Int = 5,
    val openFor: Duration = 250.milliseconds,
    val maxOpenFor: Duration = 1.seconds,
)
