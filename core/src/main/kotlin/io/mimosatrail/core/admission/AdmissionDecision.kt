package io.mimosatrail.core.admission

import kotlin.time.Duration

/** What became of work that was offered to a queue. */
sealed interface AdmissionDecision {
    /** The work waits; [displaced] left the queue for it and is to be refused as busy. */
    data class Queued(val displaced: QueuedWork? = null) : AdmissionDecision

    /** The queue is full of work that goes before it. */
    data class Busy(val retryAfter: Duration) : AdmissionDecision

    /** The work could not start in time; [predictedWait] is how long it would wait. */
    data class TooLate(val predictedWait: Duration) : AdmissionDecision
}
