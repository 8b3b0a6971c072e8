package io.mimosatrail.store.client

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of one process on the shared store.
 *
 * [readsPerSecond] and [writesPerSecond] are ceilings, with bursts of up to [burstSeconds]; a call over its ceiling
 * waits up to [maxWait] and is then refused unsent. After [failuresToOpen] failures in a row no call is sent for
 * [openFor], doubling up to [maxOpenFor], jittered.
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
