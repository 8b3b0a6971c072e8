package io.mimosatrail.core.admission

import io.mimosatrail.core.outcome.RefusalReason
import kotlin.time.Duration

/** What the host of an [AdmissionGate] is to do. */
sealed interface GateEffect {
    /** Run [work] now. */
    data class Start(val work: QueuedWork) : GateEffect

    /** Refuse [work] as not run. */
    data class Refuse(val work: QueuedWork, val reason: RefusalReason, val retryAfter: Duration) : GateEffect
}
