package io.mimosatrail.core.admission

import kotlin.time.Duration

/** Result of offering work to an [AdmissionQueue]. */
sealed interface AdmissionDecision {
    /** The work is queued. [displaced] was removed from the full queue to make space and must be refused as busy. */
    data class Queued(val displaced: QueuedWork? = null) : AdmissionDecision

    /** The queue is full and nothing in it may be displaced by this work. */
    data class Busy(val retryAfter: Duration) : AdmissionDecision

    /** The work would start after its [QueuedWork.startBy]; [predictedWait] is how long it would wait. */
    data class TooLate(val predictedWait: Duration) : AdmissionDecision
}
