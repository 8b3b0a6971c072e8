package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.time.Moment

/** Starts generations of streams and builds the messages that an entry sends to their stages. */
internal class GenerationOpener(private val self: InstanceId, private val address: PeerAddress) {
    /** First frame for a new chain, with the prompt and the delivered tokens. */
    fun promptFrame(stream: ActiveStream, now: Moment): StreamEffect {
        val tokens = stream.spec.prompt + stream.delivered
        return frame(stream, 0, tokens, route(stream, null, now), null)
    }

    /** Starts the next generation according to [plan] and cancels the request at stages that leave the chain. */
    fun startNextGeneration(stream: ActiveStream, plan: RecoveryPlan, now: Moment): List<StreamEffect> {
        val removed = stream.chain.stages.filter { old -> plan.chain.stages.none { it.instance == old.instance } }
        val cancelled = cancels(stream, removed)
        stream.generation = stream.generation.next()
        stream.chain = plan.chain
        stream.plan = plan
        stream.lateToken = null
        stream.lastProgressAt = now
        stream.awaitsFirstToken = true
        return cancelled + firstFrame(stream, plan, now)
    }

    fun cancels(stream: ActiveStream, stages: List<Stage>): List<StreamEffect> =
        stages.map { StreamEffect.Send(it, StageCancel(stream.spec.id, stream.generation)) }

    fun probes(stream: ActiveStream): List<StreamEffect> =
        stream.chain.stages.map { StreamEffect.Send(it, StageProbe(stream.spec.id, stream.generation, address)) }

    private fun firstFrame(stream: ActiveStream, plan: RecoveryPlan, now: Moment): StreamEffect {
        stream.resumed = plan.strategy == RecoveryStrategy.RESUME
        if (plan.strategy == RecoveryStrategy.REROUTE) {
            stream.stageStateUsable = true
            return promptFrame(stream, now)
        }
        val last = stream.positions - 1
        val restoresFirst = plan.restoring == stream.chain.first.instance
        val earlier = (stream.spec.prompt + stream.delivered).take(last)
        val restore = RestoredState(null, earlier.toTokenBytes()).takeIf { restoresFirst }
        return frame(stream, last, listOf(stream.delivered.last()), route(stream, plan.restoring, now), restore)
    }

    private fun frame(
        stream: ActiveStream,
        position: Int,
        tokens: List<Int>,
        route: Route,
        restore: RestoredState?,
    ): StreamEffect {
        val frame = Frame(
            stream.spec.id,
            stream.generation,
            stream.delivered.size,
            0,
            position,
            tokens.size,
            tokens.toTokenBytes(),
            emptyList(),
            route,
            restore,
        )
        return StreamEffect.Send(stream.chain.first, frame)
    }

    private fun route(stream: ActiveStream, restoring: InstanceId?, now: Moment) = Route(
        self,
        address,
        stream.chain,
        stream.spec.pool.layers,
        stream.spec.prompt.size,
        stream.spec.maxTokens,
        stream.spec.priority,
        (stream.spec.deadline - now).inWholeMilliseconds,
        restoring,
    )
}
