package io.mimosatrail.bench.scenario

import kotlinx.coroutines.Deferred
import java.util.concurrent.atomic.AtomicInteger

/** What was told at the end of a request; [replayed] is true where an earlier answer was given again. */
data class Told(val outcome: ToldOutcome, val detail: String, val replayed: Boolean = false)

/** A request that runs in the background; [tokens] counts what its caller has received. */
internal class TrackedRequest(val told: Deferred<Told>, val tokens: AtomicInteger = AtomicInteger())
