package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment

/** Ends a stream with an error. */
internal typealias StreamFailure = (ActiveStream, RefusalReason, InstanceId?, String) -> List<StreamEffect>

/** Decides how streams carry on after a failure, and starts their next generation. */
internal class StreamRecovery(
    private val settings: StreamSettings,
    private val planner: RecoveryPlanner,
    private val opener: GenerationOpener,
    private val links: StageLinks,
    private val prefill: MovingMean,
    private val openStreams: () -> Int,
    private val fail: StreamFailure,
) {
    private val slowBudget = SlowStageBudget(settings.slowPeriod, settings.streamsPerSlowMove)

    /** A probe could not be sent to [peer]. */
    fun unreachable(stream: ActiveStream, peer: InstanceId, now: Moment): List<StreamEffect> {
        val probe = stream.probe
            ?: return recover(stream, setOf(peer), RefusalReason.PEER_LOST, unrun = false, now)
        probe.unreachable += peer
        return weighIfCertain(stream, probe, now)
    }

    /** Decides at once where no further answer can change the decision. */
    fun weighIfCertain(stream: ActiveStream, probe: ActiveProbe, now: Moment): List<StreamEffect> =
        if (StallDiagnosis(stream, probe).isCertain) weigh(stream, probe, now) else emptyList()

    /** Decides from the answers to the probes how the stream carries on. */
    fun weigh(stream: ActiveStream, probe: ActiveProbe, now: Moment): List<StreamEffect> {
        val stall = StallDiagnosis(stream, probe).stall()
        if (stall.onItsWay) return waitLonger(stream)
        if (stall.slow != null) return leaveSlow(stream, stall.slow, now)
        if (stall.lost.isNotEmpty() && stall.isUnproven(probe)) return leaveSilent(stream, stall.lost, now)
        val hints = stall.lost.filter { it !in probe.answers }.map { StreamEffect.Lost(it) }
        return hints + recover(stream, stall.lost, RefusalReason.PEER_LOST, unrun = false, now)
    }

    /** Replaces a stage that is slow but alive, where that is possible and within the budget; else waits longer. */
    private fun leaveSlow(stream: ActiveStream, slow: InstanceId, now: Moment): List<StreamEffect> {
        val lost = setOf(slow)
        val plan = planFor(stream, lost)
        if (plan == null || !slowBudget.take(openStreams(), now)) return waitLonger(stream)
        return recover(stream, lost, RefusalReason.PEER_LOST, unrun = false, now, plan)
    }

    /** Replaces stages that do not answer; without others they are waited for, since they may only be paused. */
    private fun leaveSilent(stream: ActiveStream, silent: Set<InstanceId>, now: Moment): List<StreamEffect> {
        val plan = planFor(stream, silent) ?: planWithSuspected(stream, silent)
        if (plan == null && now - stream.progressAt < settings.silenceLimit) return waitLonger(stream)
        stream.suspected += silent
        return silent.map { StreamEffect.Lost(it) } +
            recover(stream, silent, RefusalReason.PEER_LOST, unrun = false, now, plan)
    }

    private fun planWithSuspected(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? {
        stream.excluded -= stream.suspected
        stream.suspected.clear()
        return planFor(stream, lost)
    }

    private fun planFor(stream: ActiveStream, lost: Set<InstanceId>): RecoveryPlan? =
        if (stream.recoveries < settings.maxRecoveries) planner.plan(stream, lost, prefill.value) else null

    private fun waitLonger(stream: ActiveStream): List<StreamEffect> {
        stream.probe = null
        stream.patience *= 2
        return emptyList()
    }

    /** A token was lost on its way: the prompt and the delivered tokens run again. */
    fun rerouteAfterGap(stream: ActiveStream, now: Moment): List<StreamEffect> {
        stream.replaceable = false
        return recover(stream, emptySet(), RefusalReason.PEER_LOST, unrun = false, now)
    }

    /** Carries [stream] on without the [lost] stages, by [plan], or ends it by [reason]. */
    fun recover(
        stream: ActiveStream,
        lost: Set<InstanceId>,
        reason: RefusalReason,
        unrun: Boolean,
        now: Moment,
        plan: RecoveryPlan? = planFor(stream, lost),
    ): List<StreamEffect> {
        stream.unrun = unrun
        stream.excluded += lost
        stream.probe = null
        stream.recoveries++
        if (plan == null) return fail(stream, reason, lost.firstOrNull(), "no chain is left for the request")
        val way = StreamEffect.Recovering(stream.spec.id, plan.way)
        return listOf(way) + links.open(plan.chain) + opener.carryOn(stream, plan, now)
    }
}
