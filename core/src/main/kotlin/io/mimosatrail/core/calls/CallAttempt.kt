package io.mimosatrail.core.calls

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.time.Moment

/** Identifies one [CallAttempt] within its owner's process. */
@JvmInline
value class AttemptId(val value: Long)

/** A call as it arrived at the owner of its slot. Each repeat of the same key is another attempt. */
data class CallAttempt(val id: AttemptId, val key: ClaimKey, val hash: RequestHash, val deadline: Moment)

/** The reply to one [CallAttempt]. */
sealed interface CallDecision {
    /** [replayed] is true if the upstream gave the answer to another attempt with the same key. */
    data class Answer(val answer: UpstreamAnswer, val replayed: Boolean) : CallDecision

    data class Refuse(val refusal: Refusal) : CallDecision
}

/** Result of sending a call to the upstream. */
sealed interface RunResult {
    data class Answered(val answer: UpstreamAnswer) : RunResult

    /** The upstream did not run the call and never will. */
    data class NotRun(val detail: String) : RunResult

    /** The upstream may have run the call, or may still run it. */
    data class Uncertain(val detail: String) : RunResult
}
