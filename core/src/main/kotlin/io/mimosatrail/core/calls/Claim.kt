package io.mimosatrail.core.calls

/** What is known of one key. */
internal class Claim(val key: ClaimKey, val hash: RequestHash, var state: ClaimState, var since: WallTime) {
    /** Attempts that wait for the end of the call, in order of arrival. */
    val waiters = mutableListOf<CallAttempt>()

    /** The attempt whose call was sent. */
    var sender: AttemptId? = null
}

internal sealed interface ClaimState {
    /** Waits for its record. */
    data object Queued : ClaimState

    /** Its record is on the way to the store. */
    data object Writing : ClaimState

    /** Sent to the upstream. */
    data object Running : ClaimState

    /** Ended; [answer] is null where it was not kept. */
    class Answered(val answer: KeptAnswer?) : ClaimState

    /** May have run; never sent again. */
    data object Unknown : ClaimState
}

internal val ClaimState.isPending: Boolean
    get() = this is ClaimState.Queued || this is ClaimState.Writing || this is ClaimState.Running
