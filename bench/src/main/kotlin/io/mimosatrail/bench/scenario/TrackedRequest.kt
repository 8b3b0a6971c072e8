package io.mimosatrail.bench.scenario

import kotlinx.coroutines.Deferred
import java.util.concurrent.atomic.AtomicInteger

/**
 * The end of a request as its caller saw it. [detail] is the answer of a model, the accepted ticket or the error, and
 * empty for other answers. [isReplayed] is true if the response repeats the stored answer to an earlier request.
 */
data class ObservedResult(val outcome: ObservedOutcome, val detail: String, val isReplayed: Boolean = false)

/** A request that runs in the background. [tokens] counts the tokens that its caller has received so far. */
internal class TrackedRequest(val result: Deferred<ObservedResult>, val tokens: AtomicInteger = AtomicInteger())
