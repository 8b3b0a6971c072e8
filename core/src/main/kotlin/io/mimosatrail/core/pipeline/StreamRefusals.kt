package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

private const val RETRY_AFTER_MILLIS = 500L

/** Builds the refusals that an entry returns to its callers. */
internal class StreamRefusals(private val self: InstanceId) {
    /** Refusal for a failed [stream]. The outcome is not run only if no stage can have run any of it. */
    fun failed(stream: ActiveStream, reason: RefusalReason, peer: InstanceId?, detail: String): Refusal {
        val outcome = when {
            stream.delivered.isNotEmpty() -> Outcome.RAN
            stream.notRun && reason != RefusalReason.DEADLINE -> Outcome.NOT_RUN
            else -> Outcome.UNKNOWN
        }
        return Refusal(outcome, reason, Step.STAGE, peer, detail, RETRY_AFTER_MILLIS)
    }

    /** Refusal because no chain is available for a new stream. */
    fun noChain(): Refusal = Refusal(
        Outcome.NOT_RUN,
        RefusalReason.NO_UPSTREAM,
        Step.ROUTE,
        self,
        "no chain covers the model's layers",
        RETRY_AFTER_MILLIS,
    )
}
