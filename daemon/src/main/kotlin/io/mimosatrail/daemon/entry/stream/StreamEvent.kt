package io.mimosatrail.daemon.entry.stream

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.FinishReason

/** Event of a caller's stream: tokens in order, then exactly one [Finished] or [Failed]. */
sealed interface StreamEvent {
    data class Token(val index: Int, val token: Int) : StreamEvent

    data class Finished(val reason: FinishReason) : StreamEvent

    data class Failed(val refusal: Refusal) : StreamEvent
}
