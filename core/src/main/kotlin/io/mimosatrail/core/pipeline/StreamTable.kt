package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.routing.ChainChooser
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.StageChooser
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * The streams of an entry: which tokens reach the caller, when a chain has failed and how a stream carries on.
 *
 * Events go in and effects come out; the host performs the effects in order. Not safe for use by several threads.
 */
class StreamTable internal constructor(
    private val self: InstanceId,
    address: PeerAddress,
    private val settings: StreamSettings,
    private val chooseChain: ChainChooser,
    chooseStage: StageChooser,
    forecast: RecoveryForecast,
    private val violated: ViolationListener,
    private val checks: PipelineChecks,
) {
    constructor(
        self: InstanceId,
        address: PeerAddress,
        settings: StreamSettings,
        chooseChain: ChainChooser,
        chooseStage: StageChooser,
        forecast: RecoveryForecast,
        violated: ViolationListener,
    ) : this(self, address, settings, chooseChain, chooseStage, forecast, violated, PipelineChecks())

    private val streams = LinkedHashMap<RequestId, ActiveStream>()
    private val prefill = MovingMean(settings.prefillPerPosition)
    private val opener = GenerationOpener(self, address)
    private val planner = RecoveryPlanner(chooseChain, chooseStage, forecast)
    private val slowBudget = SlowStageBudget(settings.slowPeriod, settings.streamsPerSlowMove)
    private var aliveAt: Moment? = null

    /** Number of open streams. */
    val size: Int get() = streams.size

    /** Opens a stream. */
    fun open(spec: StreamSpec, now: Moment): List<StreamEffect> {
        val chain = chooseChain(ChainRequest(spec.pool, spec.prompt.size))
        if (chain == null || !chain.covers(spec.pool.layers)) {
            return listOf(StreamEffect.Fail(spec.id, noChain(Outcome.NOT_RUN)))
        }
        val stream = ActiveStream(spec, chain, now)
        streams[spec.id] = stream
        return listOf(opener.reroute(stream, now))
    }

    /** A message from a stage arrived. */
    fun onMessage(message: StreamMessage, now: Moment): List<StreamEffect> {
        val stream = streams[message.request] ?: return emptyList()
        if (checks.generation && message.generation != stream.generation) return emptyList()
        return when (message) {
            is SampledToken -> onToken(stream, message, now)
            is StageRefusal -> onRefusal(stream, message, now)
            is StageProgress -> onProgress(stream, message, now)
            else -> emptyList()
        }
    }

    /** [message] could not be sent to [to]. */
    fun onUnsent(to: PeerAddress, message: StreamMessage, now: Moment): List<StreamEffect> {
        val stream = streams[message.request]?.takeIf { it.generation == message.generation } ?: return emptyList()
        val peer = stream.chain.stages.firstOrNull { it.address == to }?.instance ?: return emptyList()
        val lost = StreamEffect.Lost(peer)
        if (message !is Frame) return listOf(lost)
        return listOf(lost) + recover(stream, setOf(peer), RefusalReason.PEER_LOST, unrun = stream.unrun, now)
    }

    /** The caller left; nothing is delivered any more. */
    fun cancel(request: RequestId): List<StreamEffect> = streams[request]?.let { close(it) }.orEmpty()

    /** Probes silent streams, recovers failed ones and ends those past their deadline. */
    fun onTick(now: Moment): List<StreamEffect> = streams.values.toList().flatMap { check(it, now) } + keepAlive(now)

    private fun onToken(stream: ActiveStream, sampled: SampledToken, now: Moment): List<StreamEffect> {
        val index = stream.delivered.size
        if (checks.duplicates && sampled.index < index) return emptyList()
        if (checks.duplicates && sampled.index > index) return rerouteAfterGap(stream, now)
        val layers = stream.spec.pool.layers
        if (checks.trail && !sampled.trail.covers(layers)) return violate(stream, "the trail does not cover the model")
        observe(stream, now)
        stream.delivered += sampled.token
        val loads = listOfNotNull(sampled.load?.let { StreamEffect.Loaded(stream.chain.last.instance, it) })
        val deliver = StreamEffect.Deliver(stream.spec.id, index, sampled.token)
        return loads + deliver + finish(stream, sampled)
    }

    private fun finish(stream: ActiveStream, sampled: SampledToken): List<StreamEffect> {
        val full = stream.delivered.size >= stream.spec.maxTokens
        val reason = if (full) FinishReason.LENGTH else sampled.finish
        return when {
            reason == null -> emptyList()
            reason == FinishReason.LENGTH && !full -> violate(stream, "the stream ended before its length")
            else -> listOf(StreamEffect.Finish(stream.spec.id, reason)) + close(stream)
        }
    }

    private fun observe(stream: ActiveStream, now: Moment) {
        val elapsed = now - stream.progressAt
        when {
            !stream.awaitsFirst -> stream.interToken.add(elapsed)
            stream.generation.value == 0 -> prefill.add(elapsed / stream.spec.prompt.size.coerceAtLeast(1))
        }
        stream.awaitsFirst = false
        stream.progressAt = now
        stream.probe = null
        stream.resumed = false
        stream.patience = 1
    }

    private fun onRefusal(stream: ActiveStream, message: StageRefusal, now: Moment): List<StreamEffect> {
        val refusal = message.refusal
        val at = refusal.peer ?: message.instance
        val hint = hint(at, refusal.reason)
        val unrun = stream.unrun && refusal.outcome == Outcome.NOT_RUN && at == stream.chain.first.instance
        if (refusal.reason != RefusalReason.STALE) {
            return listOf(hint) + recover(stream, setOf(at), refusal.reason, unrun, now)
        }
        stream.replaceable = false
        return recover(stream, emptySet(), refusal.reason, unrun = false, now)
    }

    private fun hint(at: InstanceId, reason: RefusalReason) =
        if (reason == RefusalReason.PEER_LOST) StreamEffect.Lost(at) else StreamEffect.Refused(at, reason)

    private fun onProgress(stream: ActiveStream, message: StageProgress, now: Moment): List<StreamEffect> {
        val probe = stream.probe ?: return emptyList()
        probe.answers[message.instance] = message
        val diagnosis = StallDiagnosis(stream, probe.answers)
        return if (diagnosis.isComplete && diagnosis.forgetful.isNotEmpty()) weigh(stream, probe, now) else emptyList()
    }

    private fun check(stream: ActiveStream, now: Moment): List<StreamEffect> {
        val probe = stream.probe
        return when {
            stream.spec.deadline <= now -> fail(stream, RefusalReason.DEADLINE, null, "the deadline passed")
            probe != null && now - probe.at >= probeWait(stream) -> weigh(stream, probe, now)
            probe == null && now - stream.progressAt >= suspectAfter(stream) -> probe(stream, now)
            else -> emptyList()
        }
    }

    private fun probeWait(stream: ActiveStream): Duration = maxOf(settings.probeWait, stream.interToken.value * 2)

    private fun suspectAfter(stream: ActiveStream): Duration {
        val usual = maxOf(settings.suspectFloor, stream.interToken.value * settings.suspectFactor)
        val first = settings.prefillFloor + prefill.value * stream.positions * 2
        return (if (stream.awaitsFirst) usual + first else usual) * stream.patience
    }

    private fun probe(stream: ActiveStream, now: Moment): List<StreamEffect> {
        stream.probe = ActiveProbe(now)
        return opener.probes(stream)
    }

    /** Decides from the answers to the probes how the stream carries on. */
    private fun weigh(stream: ActiveStream, probe: ActiveProbe, now: Moment): List<StreamEffect> {
        val stall = StallDiagnosis(stream, probe.answers).stall()
        if (stall.onItsWay) return waitLonger(stream)
        if (stall.slow != null) return leaveSlow(stream, stall.slow, now)
        val hints = stall.lost.filter { it !in probe.answers }.map { StreamEffect.Lost(it) }
        return hints + recover(stream, stall.lost, RefusalReason.PEER_LOST, unrun = false, now)
    }

    /** Replaces a stage that is slow but alive, where that is possible and within the budget; else waits longer. */
    private fun leaveSlow(stream: ActiveStream, slow: InstanceId, now: Moment): List<StreamEffect> {
        val able = stream.recoveries < settings.maxRecoveries &&
            planner.plan(stream, setOf(slow), prefill.value) != null
        if (able && slowBudget.take(streams.size, now)) {
            return recover(stream, setOf(slow), RefusalReason.PEER_LOST, unrun = false, now)
        }
        return waitLonger(stream)
    }

    private fun waitLonger(stream: ActiveStream): List<StreamEffect> {
        stream.probe = null
        stream.patience *= 2
        return emptyList()
    }

    private fun rerouteAfterGap(stream: ActiveStream, now: Moment): List<StreamEffect> {
        stream.replaceable = false
        return recover(stream, emptySet(), RefusalReason.PEER_LOST, unrun = false, now)
    }

    private fun recover(
        stream: ActiveStream,
        lost: Set<InstanceId>,
        reason: RefusalReason,
        unrun: Boolean,
        now: Moment,
    ): List<StreamEffect> {
        stream.unrun = unrun
        stream.excluded += lost
        stream.probe = null
        if (++stream.recoveries > settings.maxRecoveries) {
            return fail(stream, reason, lost.firstOrNull(), "gave up after ${settings.maxRecoveries} recoveries")
        }
        val plan = planner.plan(stream, lost, prefill.value)
            ?: return fail(stream, reason, lost.firstOrNull(), "no chain is left for the request")
        val way = StreamEffect.Recovering(stream.spec.id, plan.way)
        return listOf(way) + opener.carryOn(stream, plan, now)
    }

    private fun violate(stream: ActiveStream, detail: String): List<StreamEffect> {
        val last = stream.chain.last.instance
        violated(InvariantViolation(stream.spec.id, last, detail))
        return fail(stream, RefusalReason.INVARIANT, last, detail)
    }

    private fun fail(
        stream: ActiveStream,
        reason: RefusalReason,
        peer: InstanceId?,
        detail: String,
    ): List<StreamEffect> {
        val outcome = when {
            stream.delivered.isNotEmpty() -> Outcome.RAN
            stream.unrun && reason != RefusalReason.DEADLINE -> Outcome.NOT_RUN
            else -> Outcome.UNKNOWN
        }
        val refusal = Refusal(outcome, reason, Step.STAGE, peer, detail, RETRY_AFTER_MILLIS)
        return listOf(StreamEffect.Fail(stream.spec.id, refusal)) + close(stream)
    }

    private fun noChain(outcome: Outcome) = Refusal(
        outcome,
        RefusalReason.NO_UPSTREAM,
        Step.ROUTE,
        self,
        "no chain covers the model's layers",
        RETRY_AFTER_MILLIS,
    )

    private fun close(stream: ActiveStream): List<StreamEffect> {
        streams.remove(stream.spec.id)
        return opener.cancels(stream, stream.chain.stages)
    }

    private fun keepAlive(now: Moment): List<StreamEffect> {
        if (aliveAt?.let { now - it < settings.aliveEvery } == true) return emptyList()
        aliveAt = now
        return streams.values.flatMap { it.chain.stages }.distinctBy { it.address }.map { StreamEffect.KeepAlive(it) }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 500L
    }
}
