package io.mimosatrail.core.calls

/** State of one idempotency key. [since] is when the claim was created or, once it has an outcome, when it got that. */
internal class Claim(val key: ClaimKey, val hash: RequestHash, var state: ClaimState, var since: WallTime) {
    /** Attempts that wait for the call's outcome, in order of arrival. */
    val waiters = mutableListOf<CallAttempt>()

    /** The attempt for which the call was sent; null if it was not sent. */
    var sentAttempt: AttemptId? = null
}

internal sealed interface ClaimState {
    /** Not part of a journal record yet. */
    data object Queued : ClaimState

    /** Part of the pending append; not known to be stored. */
    data object Writing : ClaimState

    /** The call was sent to the upstream. */
    data object Running : ClaimState

    /** The call ran; [answer] is null if it was too large to store. */
    class Answered(val answer: UpstreamAnswer?) : ClaimState

    /** The call may have run; it is never sent again. */
    data object Unknown : ClaimState
}

internal val ClaimState.isPending: Boolean
    get() = this is ClaimState.Queued || this is ClaimState.Writing || this is ClaimState.Running
