package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.routing.ChainChooser
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.StageChooser
import kotlin.time.Duration

/** How a stream carries on: [restoring] is the stage that replaces a lost one. */
internal class RecoveryPlan(val way: RecoveryWay, val chain: Chain, val restoring: InstanceId? = null)

/** Chooses between the ways of recovery by predicted time. */
internal class RecoveryPlanner(
    private val chooseChain: ChainChooser,
    private val chooseStage: StageChooser,
    private val forecast: RecoveryForecast,
) {
    /** The quickest plan without [lost], or null where no chain is left. */
    fun plan(stream: ActiveStream, lost: Set<InstanceId>, prefillPerPosition: Duration): RecoveryPlan? {
        val request = ChainRequest(stream.spec.pool, stream.positions, stream.excluded + lost)
        val stages = stream.chain.stages.size
        val situation = RecoverySituation(stream.positions, stages, prefillPerPosition, stream.interToken.value)
        val plans = listOfNotNull(resume(stream, lost), replace(stream, lost, request), reroute(stream, request))
        return plans.minByOrNull { forecast(it.way, situation) }
    }

    private fun resume(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? {
        if (lost.isNotEmpty() || stream.resumed || !canKeepState(stream)) return null
        return RecoveryPlan(RecoveryWay.RESUME, stream.chain)
    }

    private fun replace(stream: ActiveStream, lost: Set<InstanceId>, request: ChainRequest): RecoveryPlan? {
        val at = stream.chain.stages.singleOrNull { it.instance in lost } ?: return null
        if (!canKeepState(stream)) return null
        val others = stream.chain.stages.map { it.instance }.toSet()
        val found = chooseStage(request.copy(excluded = request.excluded + others), at.layers) ?: return null
        if (found.layers != at.layers || found.instance in others) return null
        val chain = Chain(stream.chain.stages.map { if (it.instance == at.instance) found else it })
        return RecoveryPlan(RecoveryWay.REPLACE, chain, found.instance)
    }

    private fun reroute(stream: ActiveStream, request: ChainRequest): RecoveryPlan? = chooseChain(request)?.takeIf {
        it.covers(stream.spec.pool.layers)
    }?.let { RecoveryPlan(RecoveryWay.REROUTE, it) }

    private fun canKeepState(stream: ActiveStream) = stream.replaceable && stream.delivered.isNotEmpty()
}
