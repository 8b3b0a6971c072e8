package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
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
    self: InstanceId,
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
    private val links = StageLinks(settings.aliveEvery)
    private val refusals = StreamRefusals(self)
    private val recovery = StreamRecovery(
        settings,
        RecoveryPlanner(chooseChain, chooseStage, forecast),
        opener,
        links,
        prefill,
        { streams.size },
        ::fail,
    )

    /** Number of open streams. */
    val size: Int get() = streams.size

    /** Opens a stream. */
    fun open(spec: StreamSpec, now: Moment): List<StreamEffect> {
        val chain = chooseChain(ChainRequest(spec.pool, spec.prompt.size))
        if (chain == null || !chain.covers(spec.pool.layers)) {
            return listOf(StreamEffect.Fail(spec.id, refusals.noChain()))
        }
        val stream = ActiveStream(spec, chain, now)
        streams[spec.id] = stream
        return links.open(chain) + opener.reroute(stream, now)
    }

    /** A message from a stage arrived. */
    fun onMessage(message: StreamMessage, now: Moment): List<StreamEffect> {
        val stream = streams[message.request] ?: return emptyList()
        if (message is SampledToken && isLate(stream, message)) stream.late = message
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
        return listOf(lost) + when (message) {
            is Frame -> recovery.recover(stream, setOf(peer), RefusalReason.PEER_LOST, unrun = stream.unrun, now)
            is StageProbe -> recovery.unreachable(stream, peer, now)
            else -> emptyList()
        }
    }

    /** The connection to the stage at [to] ended; the streams through it are probed at once. */
    fun onClosed(to: PeerAddress, now: Moment): List<StreamEffect> {
        val affected = streams.values.filter { it.probe == null && it.passes(to) }
        return affected.flatMap { probe(it, now) }
    }

    /** The caller left; nothing is delivered any more. */
    fun cancel(request: RequestId): List<StreamEffect> = streams[request]?.let { close(it) }.orEmpty()

    /** Probes silent streams, recovers failed ones and ends those past their deadline. */
    fun onTick(now: Moment): List<StreamEffect> =
        streams.values.toList().flatMap { check(it, now) } + links.keepAlive(streams.values.map { it.chain }, now)

    private fun onToken(stream: ActiveStream, sampled: SampledToken, now: Moment): List<StreamEffect> {
        val index = stream.delivered.size
        if (checks.duplicates && sampled.index < index) return emptyList()
        if (checks.duplicates && sampled.index > index) return recovery.rerouteAfterGap(stream, now)
        val layers = stream.spec.pool.layers
        if (checks.trail && !sampled.trail.covers(layers)) return violate(stream, "the trail does not cover the model")
        observe(stream, now)
        stream.delivered += sampled.token
        val loads = sampled.loads.map { StreamEffect.Loaded(it.instance, it.load) }
        val deliver = StreamEffect.Deliver(stream.spec.id, index, sampled.token)
        return loads + deliver + finish(stream, sampled)
    }

    /** True for the next token from just before a recovery that keeps the stages' state. */
    private fun isLate(stream: ActiveStream, sampled: SampledToken): Boolean {
        val keepsState = stream.plan?.way.let { it == RecoveryWay.RESUME || it == RecoveryWay.REPLACE }
        return keepsState &&
            stream.awaitsFirst &&
            sampled.generation.next() == stream.generation &&
            sampled.index == stream.delivered.size &&
            sampled.trail.covers(stream.spec.pool.layers)
    }

    /**
     * Delivers a token that was on its way when its stream recovered, and starts the recovery again behind it: the
     * first stage had the token before the recovery and refuses to go back.
     */
    private fun takeLateToken(stream: ActiveStream, sampled: SampledToken, now: Moment): List<StreamEffect> {
        val plan = stream.plan ?: return emptyList()
        val deliver = StreamEffect.Deliver(stream.spec.id, stream.delivered.size, sampled.token)
        stream.delivered += sampled.token
        val end = finish(stream, sampled)
        return listOf(deliver) + end.ifEmpty { opener.carryOn(stream, plan, now) }
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
        stream.late = null
        stream.patience = 1
    }

    private fun onRefusal(stream: ActiveStream, message: StageRefusal, now: Moment): List<StreamEffect> {
        val refusal = message.refusal
        val at = refusal.peer ?: message.instance
        val hint = hint(at, refusal.reason)
        val unrun = stream.unrun && refusal.outcome == Outcome.NOT_RUN && at == stream.chain.first.instance
        if (refusal.reason != RefusalReason.STALE) {
            return listOf(hint) + recovery.recover(stream, setOf(at), refusal.reason, unrun, now)
        }
        val late = stream.late?.takeIf { at == stream.chain.first.instance }
        if (late != null) return takeLateToken(stream, late, now)
        stream.replaceable = false
        return recovery.recover(stream, emptySet(), refusal.reason, unrun = false, now)
    }

    private fun hint(at: InstanceId, reason: RefusalReason) =
        if (reason == RefusalReason.PEER_LOST) StreamEffect.Lost(at) else StreamEffect.Refused(at, reason)

    private fun onProgress(stream: ActiveStream, message: StageProgress, now: Moment): List<StreamEffect> {
        val probe = stream.probe ?: return emptyList()
        probe.answers[message.instance] = message
        return recovery.weighIfCertain(stream, probe, now)
    }

    private fun check(stream: ActiveStream, now: Moment): List<StreamEffect> {
        val probe = stream.probe
        return when {
            stream.spec.deadline <= now -> fail(stream, RefusalReason.DEADLINE, null, "the deadline passed")
            probe != null && now - probe.at >= probeWait(stream) -> recovery.weigh(stream, probe, now)
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
        val refusal = refusals.failed(stream, reason, peer, detail)
        return listOf(StreamEffect.Fail(stream.spec.id, refusal)) + close(stream)
    }

    private fun close(stream: ActiveStream): List<StreamEffect> {
        streams.remove(stream.spec.id)
        return opener.cancels(stream, stream.chain.stages)
    }
}
