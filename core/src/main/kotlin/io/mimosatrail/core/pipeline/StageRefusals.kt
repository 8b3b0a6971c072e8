package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

private const val RETRY_AFTER_MILLIS = 100L

/** Builds the refusals that a stage sends to entries. */
internal class StageRefusals(private val self: InstanceId) {
    /** [frame] does not run here. Only the first frame of a request is certain not to have run anywhere. */
    fun frame(route: Route, frame: Frame, reason: RefusalReason, detail: String): StageEffect {
        val outcome = if (frame.nextLayer == 0 && frame.position == 0) Outcome.NOT_RUN else Outcome.UNKNOWN
        return send(frame.request, frame.generation, route, refusal(outcome, reason, self, detail))
    }

    /** The engine did not run the work of [sequence]. */
    fun failed(sequence: StageSequence, failed: StageResult.Failed): StageEffect {
        val reason = if (failed.notRun) RefusalReason.BUSY else RefusalReason.UPSTREAM_ERROR
        val unrun = failed.notRun && sequence.lastIndex == null && sequence.isFirst
        val outcome = if (unrun) Outcome.NOT_RUN else Outcome.UNKNOWN
        val refusal = refusal(outcome, reason, self, failed.detail)
        return send(sequence.request, sequence.generation, sequence.route, refusal)
    }

    /** The stage [peer] can't be reached from here. */
    fun unreachable(sequence: StageSequence, peer: InstanceId): StageEffect {
        val refusal = refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST, peer, "the stage can't be reached")
        return send(sequence.request, sequence.generation, sequence.route, refusal)
    }

    fun send(request: RequestId, generation: Generation, route: Route, refusal: Refusal): StageEffect =
        StageEffect.Send(route.entry, route.entryAddress, StageRefusal(request, generation, self, refusal))

    private fun refusal(outcome: Outcome, reason: RefusalReason, peer: InstanceId, detail: String) =
        Refusal(outcome, reason, Step.STAGE, peer, detail, RETRY_AFTER_MILLIS)
}
