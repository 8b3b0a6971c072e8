package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

private const val RETRY_AFTER_MILLIS = 100L

/** Builds the [StageRefusal] messages that a stage sends to entries. */
internal class StageRefusals(private val self: InstanceId) {
    /**
     * Refusal of [frame]. The outcome is not run only for the first frame of a request at the first stage; any other
     * frame means that other stages or earlier frames may have run.
     */
    fun forFrame(route: Route, frame: Frame, reason: RefusalReason, detail: String): StageEffect {
        val outcome = if (frame.nextLayer == 0 && frame.position == 0) Outcome.NOT_RUN else Outcome.UNKNOWN
        return send(frame.request, frame.generation, route, refusal(outcome, reason, self, detail))
    }

    /** Refusal after the engine failed to run work of [sequence]. */
    fun forFailedWork(sequence: StageSequence, failed: StageResult.Failed): StageEffect {
        val reason = if (failed.notRun) RefusalReason.BUSY else RefusalReason.UPSTREAM_ERROR
        val notRun = failed.notRun && sequence.lastIndex == null && sequence.isFirst
        val outcome = if (notRun) Outcome.NOT_RUN else Outcome.UNKNOWN
        val refusal = refusal(outcome, reason, self, failed.detail)
        return send(sequence.request, sequence.generation, sequence.route, refusal)
    }

    /** Refusal because the stage [peer] is unreachable from this one. */
    fun forUnreachable(sequence: StageSequence, peer: InstanceId): StageEffect {
        val refusal = refusal(Outcome.UNKNOWN, RefusalReason.PEER_LOST, peer, "the stage can't be reached")
        return send(sequence.request, sequence.generation, sequence.route, refusal)
    }

    fun send(request: RequestId, generation: Generation, route: Route, refusal: Refusal): StageEffect =
        StageEffect.Send(route.entry, route.entryAddress, StageRefusal(request, generation, self, refusal))

    private fun refusal(outcome: Outcome, reason: RefusalReason, peer: InstanceId, detail: String) =
        Refusal(outcome, reason, Step.STAGE, peer, detail, RETRY_AFTER_MILLIS)
}
