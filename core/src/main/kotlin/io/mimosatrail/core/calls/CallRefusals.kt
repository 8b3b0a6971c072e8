package io.mimosatrail.core.calls

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

private const val RETRY_SOON_MILLIS = 200L
private const val RETRY_STORE_MILLIS = 2_000L

/** Creates the refusals of a slot owner, each with the outcome that it guarantees to the caller. */
internal class CallRefusals(private val self: InstanceId) {
    fun stale() = notRun(RefusalReason.STALE, "this instance does not own the key's slot", RETRY_SOON_MILLIS)

    fun draining() = notRun(RefusalReason.DRAINING, "this instance hands its slots over", RETRY_SOON_MILLIS)

    fun storeUnavailable() =
        notRun(RefusalReason.STORE_UNAVAILABLE, "the claim could not be stored; nothing was sent", RETRY_STORE_MILLIS)

    fun full() = notRun(RefusalReason.BUSY, "the claim table is full", RETRY_STORE_MILLIS)

    fun otherBody() = notRun(
        RefusalReason.CONFLICT,
        "the idempotency key was used for another request; this request was not run",
        null,
    )

    fun expiredBeforeSend() = notRun(RefusalReason.DEADLINE, "the deadline passed before the call was sent", null)

    fun upstreamNotRun(detail: String) =
        Refusal(Outcome.NOT_RUN, RefusalReason.UPSTREAM_ERROR, Step.SEND, self, detail, RETRY_SOON_MILLIS)

    fun upstreamUncertain(detail: String) =
        Refusal(Outcome.UNKNOWN, RefusalReason.UPSTREAM_ERROR, Step.SEND, self, detail)

    fun expiredWhileRunning() =
        Refusal(Outcome.UNKNOWN, RefusalReason.DEADLINE, Step.ANSWER, self, "no answer before the deadline")

    fun unknown() = Refusal(
        Outcome.UNKNOWN,
        RefusalReason.PEER_LOST,
        Step.CLAIM,
        self,
        "the key was claimed and its end is not known; it is never sent again",
    )

    fun ranWithoutAnswer() =
        Refusal(Outcome.RAN, RefusalReason.TOO_LARGE, Step.ANSWER, self, "the call ran; its answer was not kept")

    fun invariant() = Refusal(Outcome.UNKNOWN, RefusalReason.INVARIANT, Step.SEND, self, "an internal check failed")

    private fun notRun(reason: RefusalReason, detail: String, retryAfterMillis: Long?) =
        Refusal(Outcome.NOT_RUN, reason, Step.CLAIM, self, detail, retryAfterMillis)
}
