package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment

/** Ends a stream with an error, given the reason, the failed stage (null if unknown) and a detail text. */
internal typealias StreamFailure = (ActiveStream, RefusalReason, InstanceId?, String) -> List<StreamEffect>

/** Decides how streams recover from failures and starts their next generation. */
internal class StreamRecovery(
    private val settings: StreamSettings,
    private val planner: RecoveryPlanner,
    private val opener: GenerationOpener,
    private val links: StageLinks,
    private val prefill: MovingMean,
    private val openStreams: () -> Int,
    private val fail: StreamFailure,
) {
    private val slowBudget = SlowStageBudget(settings.slowStagePeriod, settings.streamsPerSlowMove)

    /** Handles a probe that could not be sent to [peer]. */
    fun onStageUnreachable(stream: ActiveStream, peer: InstanceId, now: Moment): List<StreamEffect> {
        val probe = stream.probe
            ?: return recover(stream, setOf(peer), RefusalReason.PEER_LOST, notRun = false, now)
        probe.unreachable += peer
        return evaluateProbeIfConclusive(stream, probe, now)
    }

    /** Evaluates [probe] early if no outstanding answer can change the result. */
    fun evaluateProbeIfConclusive(stream: ActiveStream, probe: ActiveProbe, now: Moment): List<StreamEffect> =
        if (StallDiagnosis(stream, probe).isConclusive) evaluateProbe(stream, probe, now) else emptyList()

    /** Chooses the reaction to a stall from the answers to [probe]: wait longer or recover. */
    fun evaluateProbe(stream: ActiveStream, probe: ActiveProbe, now: Moment): List<StreamEffect> {
        val stall = StallDiagnosis(stream, probe).diagnose()
        if (stall.firstFramePending) return waitLonger(stream)
        if (stall.slow != null) return replaceSlowStage(stream, stall.slow, now)
        if (stall.lost.isNotEmpty() && stall.isUnconfirmed(probe)) return replaceSilentStages(stream, stall.lost, now)
        val updates = stall.lost.filter { it !in probe.answers }.map { StreamEffect.StageLost(it) }
        return updates + recover(stream, stall.lost, RefusalReason.PEER_LOST, notRun = false, now)
    }

    /** Recovers without a slow stage if there is a replacement and the budget allows it, otherwise waits longer. */
    private fun replaceSlowStage(stream: ActiveStream, slow: InstanceId, now: Moment): List<StreamEffect> {
        val lost = setOf(slow)
        val plan = planFor(stream, lost)
        if (plan == null || !slowBudget.tryAcquire(openStreams(), now)) return waitLonger(stream)
        return recover(stream, lost, RefusalReason.PEER_LOST, notRun = false, now, plan)
    }

    /**
     * Recovers without stages that do not answer. If there is no replacement, waits until
     * [StreamSettings.silenceLimit], since they may only be paused.
     */
    private fun replaceSilentStages(stream: ActiveStream, silent: Set<InstanceId>, now: Moment): List<StreamEffect> {
        val plan = planFor(stream, silent) ?: planAllowingSilentStages(stream, silent)
        if (plan == null && now - stream.lastProgressAt < settings.silenceLimit) return waitLonger(stream)
        stream.excludedAsSilent += silent
        return silent.map { StreamEffect.StageLost(it) } +
            recover(stream, silent, RefusalReason.PEER_LOST, notRun = false, now, plan)
    }

    /** A plan that may use stages again that were excluded only because they did not answer. */
    private fun planAllowingSilentStages(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? {
        stream.excluded -= stream.excludedAsSilent
        stream.excludedAsSilent.clear()
        return planFor(stream, lost)
    }

    private fun planFor(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? =
        if (stream.recoveries < settings.maxRecoveries) planner.plan(stream, lost, prefill.value) else null

    /** Doubles the stall timeout and drops the current probe. */
    private fun waitLonger(stream: ActiveStream): List<StreamEffect> {
        stream.probe = null
        stream.timeoutFactor *= 2
        return emptyList()
    }

    /** Reroutes a stream after a token was lost in transit; the stages are already ahead of the delivered tokens. */
    fun rerouteAfterGap(stream: ActiveStream, now: Moment): List<StreamEffect> {
        stream.stageStateUsable = false
        return recover(stream, emptySet(), RefusalReason.PEER_LOST, notRun = false, now)
    }

    /**
     * Continues [stream] according to [plan] without the [lost] stages, or ends it with [reason] if [plan] is null.
     *
     * [notRun] is true if it is certain that no stage has run any of the stream so far.
     */
    fun recover(
        stream: ActiveStream,
        lost: Set<InstanceId>,
        reason: RefusalReason,
        notRun: Boolean,
        now: Moment,
        plan: RecoveryPlan? = planFor(stream, lost),
    ): List<StreamEffect> {
        stream.notRun = notRun
        stream.excluded += lost
        stream.probe = null
        stream.recoveries++
        if (plan == null) return fail(stream, reason, lost.firstOrNull(), "no chain is left for the request")
        val recovering = StreamEffect.Recovering(stream.spec.id, plan.strategy)
        return listOf(recovering) + links.open(plan.chain) + opener.startNextGeneration(stream, plan, now)
    }
}
