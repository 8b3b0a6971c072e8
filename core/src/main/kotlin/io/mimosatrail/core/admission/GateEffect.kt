package io.mimosatrail.core.admission

import io.mimosatrail.core.outcome.RefusalReason
import kotlin.time.Duration

/** Work for the host of an [AdmissionGate]. */
sealed interface GateEffect {
    /** Run [work] now. */
    data class Start(val work: QueuedWork) : GateEffect

    /** Refuse [work], which has not run. */
    data class Refuse(val work: QueuedWork, val reason: RefusalReason, val retryAfter: Duration) : GateEffect
}
