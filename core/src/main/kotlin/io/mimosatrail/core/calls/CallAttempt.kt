package io.mimosatrail.core.calls

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.time.Moment

/** Number of one arrival of a call at its owner. */
@JvmInline
value class AttemptId(val value: Long)

/** One arrival of a call at its owner; a repeated key arrives as another attempt. */
data class CallAttempt(val id: AttemptId, val key: ClaimKey, val hash: RequestHash, val deadline: Moment)

/** What a caller is told. */
sealed interface CallDecision {
    /** [replayed] is true where the answer is not from a run for this attempt. */
    data class Answer(val answer: KeptAnswer, val replayed: Boolean) : CallDecision

    data class Refuse(val refusal: Refusal) : CallDecision
}

/** What the upstream did with a call. */
sealed interface RunResult {
    data class Answered(val answer: KeptAnswer) : RunResult

    /** The upstream did not act on the call and never will. */
    data class NotRun(val detail: String) : RunResult

    /** The upstream may have acted, or may still. */
    data class Uncertain(val detail: String) : RunResult
}
