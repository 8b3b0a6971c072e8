package io.mimosatrail.core.spread

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the spread.
 *
 * [relays] processes of each place watch the store, up to [watchWait] at a time, which also bounds how long a watch on
 * a broken path stays unnoticed; the first [pushers] of each place tell the whole place of a new revision. Each process
 * checks one of its neighbours every [checkPeriod], or [startNeighbours] of them every [startCheckPeriod] until it has
 * heard enough; it has [nearNeighbours] in its place and [farNeighbours] in others. A process without configuration
 * reads the store itself after [storeFallback] plus up to [storeFallbackJitter]. One without any contact for
 * [contactBound] is cut off; one that did not tick for [pauseBound] was paused.
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
    val contactBound: Duration = 10.seconds,
    val pauseBound: Duration = 3.seconds,
)
