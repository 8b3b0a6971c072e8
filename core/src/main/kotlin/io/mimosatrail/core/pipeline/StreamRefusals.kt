package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

private const val RETRY_AFTER_MILLIS = 500L

/** Builds the refusals that an entry gives its callers. */
internal class StreamRefusals(private val self: InstanceId) {
    /** The end of [stream] by [reason]; not run is said only where no stage can have run anything. */
    fun failed(stream: ActiveStream, reason: RefusalReason, peer: InstanceId?, detail: String): Refusal {
        val outcome = when {
            stream.delivered.isNotEmpty() -> Outcome.RAN
            stream.unrun && reason != RefusalReason.DEADLINE -> Outcome.NOT_RUN
            else -> Outcome.UNKNOWN
        }
        return Refusal(outcome, reason, Step.STAGE, peer, detail, RETRY_AFTER_MILLIS)
    }

    /** No chain could be chosen for a new stream. */
    fun noChain(): Refusal = Refusal(
        Outcome.NOT_RUN,
        RefusalReason.NO_UPSTREAM,
        Step.ROUTE,
        self,
        "no chain covers the model's layers",
        RETRY_AFTER_MILLIS,
    )
}
