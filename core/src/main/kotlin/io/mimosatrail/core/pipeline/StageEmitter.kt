package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step

/** Builds the messages that a stage sends to other stages and to entries. */
internal class StageEmitter(
    private val self: InstanceId,
    private val settings: StageSettings,
    private val refusals: StageRefusals,
) {
    /** Sends the last output: activations to the next stage, or a sampled token to the entry and the first stage. */
    fun emit(sequence: StageSequence): List<StageEffect> {
        val frame = sequence.currentFrame ?: return emptyList()
        val output = sequence.lastOutput ?: return emptyList()
        val first = sequence.emittedIndex == null
        sequence.emittedIndex = frame.index
        return when (val result = output.result) {
            is StageResult.Token -> tokens(sequence, frame, result.token)
            is StageResult.Activations -> listOf(frameForNextStage(sequence, frame, output, first))
            is StageResult.Failed -> emptyList()
        }
    }

    /** Frame with which the first stage runs the position of the token [sampled]. */
    fun frameForToken(sequence: StageSequence, sampled: SampledToken): Frame = Frame(
        sampled.request,
        sequence.generation,
        sampled.index + 1,
        0,
        sequence.route.promptTokens + sampled.index,
        1,
        listOf(sampled.token).toTokenBytes(),
        emptyList(),
    )

    fun progress(probe: StageProbe, sequence: StageSequence?): StageEffect {
        val index = sequence?.lastIndex ?: -1
        val running = sequence?.running != null
        val progress = StageProgress(probe.request, probe.generation, self, sequence != null, index, running)
        return StageEffect.Send(sequence?.route?.entry ?: self, probe.replyTo, progress)
    }

    /** Export of the KV cache if a snapshot is due after [work], otherwise null. */
    fun export(sequence: StageSequence, work: StageWork): StageEffect? {
        val due = settings.snapshotTokens > 0 && work.index % settings.snapshotTokens == 0
        if (!due || sequence.isFirst) return null
        return StageEffect.Export(sequence.request, sequence.generation, sequence.name)
    }

    fun snapshot(sequence: StageSequence, snapshot: KvSnapshot): StageEffect? {
        val to = sequence.previous?.takeIf { snapshot.state.size <= settings.restoreBytes } ?: return null
        val message = StageSnapshot(sequence.request, sequence.generation, self, snapshot)
        return StageEffect.Send(to.instance, to.address, message)
    }

    private fun frameForNextStage(
        sequence: StageSequence,
        frame: Frame,
        output: StageOutput,
        first: Boolean,
    ): StageEffect {
        val next = sequence.next
        val route = sequence.route
        val position = maxOf(frame.position, output.position)
        val restoring = first && route.restoring == next.instance
        val restored = if (restoring) restorableState(sequence, position) else null
        if (restoring && restored == null) {
            return refusals.send(frame.request, sequence.generation, route, stateNotRetained())
        }
        val message = Frame(
            frame.request,
            sequence.generation,
            frame.index,
            sequence.stage.layers.end,
            position,
            output.end - position,
            output.activationsFrom(position),
            frame.trail + sequence.stage.layers,
            route.takeIf { first },
            restored,
            frame.loads,
        )
        return StageEffect.Send(next.instance, next.address, message)
    }

    private fun restorableState(sequence: StageSequence, position: Int) =
        sequence.retained.restoredState(position)?.takeIf { it.bytes <= settings.restoreBytes }

    private fun stateNotRetained() =
        Refusal(Outcome.UNKNOWN, RefusalReason.STALE, Step.STAGE, self, "the next stage's state is not kept")

    private fun tokens(sequence: StageSequence, frame: Frame, token: Int): List<StageEffect> {
        val route = sequence.route
        val finish = FinishReason.LENGTH.takeIf { frame.index + 1 >= route.maxTokens }
        val trail = frame.trail + sequence.stage.layers
        val sampled = SampledToken(frame.request, sequence.generation, frame.index, token, trail, finish, frame.loads)
        val first = route.chain.first
        val back = StageEffect.Send(first.instance, first.address, sampled).takeIf { finish == null }
        return listOfNotNull(StageEffect.Send(route.entry, route.entryAddress, sampled), back)
    }
}
