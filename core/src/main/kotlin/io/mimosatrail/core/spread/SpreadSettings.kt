package io.mimosatrail.core.spread

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ConfigSpread].
 *
 * In each place, [relays] processes watch the store and the first [pushers] notify the whole place of a new revision. A
 * watch lasts up to [watchWait], which also bounds how long a broken connection goes unnoticed. After the n-th failure
 * in a row, the next read or watch waits for about n times [storeRetry], at most [maxStoreRetry].
 *
 * Each process has [nearNeighbours] in its own place and [farNeighbours] in others. It checks one of them every
 * [checkPeriod], or [startNeighbours] of them every [startCheckPeriod] until enough have answered since the start or a
 * pause. A process without configuration reads the store itself after [storeFallback] plus up to [storeFallbackJitter].
 *
 * A process without contact for more than [contactTimeout] counts as cut off, one without a tick for more than
 * [pauseThreshold] as paused.
 */
data class SpreadSettings(
    val relays: Int = 2,
    val pushers: Int = 4,
    val checkPeriod: Duration = 1.seconds,
    val startCheckPeriod: Duration = 200.milliseconds,
    val nearNeighbours: Int = 4,
    val farNeighbours: Int = 4,
    val startNeighbours: Int = 3,
    val watchWait: Duration = 1.seconds,
    val storeRetry: Duration = 250.milliseconds,
    val maxStoreRetry: Duration = 500.milliseconds,
    val storeFallback: Duration = 500.milliseconds,
    val storeFallbackJitter: Duration = 4.seconds,
    val contactTimeout: Duration = 10.seconds,
    val pauseThreshold: Duration = 3.seconds,
)
