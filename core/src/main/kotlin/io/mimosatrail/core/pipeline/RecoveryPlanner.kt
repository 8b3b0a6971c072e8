package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.routing.ChainChooser
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.StageChooser
import kotlin.time.Duration

/** Chain and strategy for the next generation. [restoring] is the stage that replaces a lost one, or null. */
internal class RecoveryPlan(val strategy: RecoveryStrategy, val chain: Chain, val restoring: InstanceId? = null)

/** Chooses the recovery strategy with the shortest predicted time until the next token. */
internal class RecoveryPlanner(
    private val chooseChain: ChainChooser,
    private val chooseStage: StageChooser,
    private val forecast: RecoveryForecast,
) {
    /** The fastest plan that uses none of the [lost] stages, or null if there is none. */
    fun plan(stream: ActiveStream, lost: Set<InstanceId>, prefillPerPosition: Duration): RecoveryPlan? {
        val request = ChainRequest(stream.spec.pool, stream.positions, stream.excluded + lost)
        val stages = stream.chain.stages.size
        val situation = RecoverySituation(stream.positions, stages, prefillPerPosition, stream.interToken.value)
        val plans = listOfNotNull(resume(stream, lost), replace(stream, lost, request), reroute(stream, request))
        return plans.minByOrNull { forecast(it.strategy, situation) }
    }

    private fun resume(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? {
        if (lost.isNotEmpty() || stream.resumed || !canReuseState(stream)) return null
        return RecoveryPlan(RecoveryStrategy.RESUME, stream.chain)
    }

    private fun replace(stream: ActiveStream, lost: Set<InstanceId>, request: ChainRequest): RecoveryPlan? {
        val lostStage = stream.chain.stages.singleOrNull { it.instance in lost } ?: return null
        if (!canReuseState(stream)) return null
        val members = stream.chain.stages.map { it.instance }.toSet()
        val replacement =
            chooseStage(request.copy(excluded = request.excluded + members), lostStage.layers) ?: return null
        if (replacement.layers != lostStage.layers || replacement.instance in members) return null
        val chain = Chain(stream.chain.stages.map { if (it.instance == lostStage.instance) replacement else it })
        return RecoveryPlan(RecoveryStrategy.REPLACE, chain, replacement.instance)
    }

    private fun reroute(stream: ActiveStream, request: ChainRequest): RecoveryPlan? = chooseChain(request)?.takeIf {
        it.covers(stream.spec.pool.layers)
    }?.let { RecoveryPlan(RecoveryStrategy.REROUTE, it) }

    private fun canReuseState(stream: ActiveStream) = stream.stageStateUsable && stream.delivered.isNotEmpty()
}
