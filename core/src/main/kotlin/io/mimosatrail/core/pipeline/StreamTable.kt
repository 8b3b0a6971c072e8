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
 * State machine of the streams at an entry: delivers each token to the caller once and in order, detects failed chains
 * and recovers their streams.
 *
 * Performs no I/O. Each event returns the effects that the host has to perform, in order. Not thread-safe.
 */
class StreamTable internal constructor(
    self: InstanceId,
    address: PeerAddress,
    private val settings: StreamSettings,
    private val chooseChain: ChainChooser,
    chooseStage: StageChooser,
    forecast: RecoveryForecast,
    private val onViolation: ViolationListener,
    private val checks: PipelineChecks,
) {
    constructor(
        self: InstanceId,
        address: PeerAddress,
        settings: StreamSettings,
        chooseChain: ChainChooser,
        chooseStage: StageChooser,
        forecast: RecoveryForecast,
        onViolation: ViolationListener,
    ) : this(self, address, settings, chooseChain, chooseStage, forecast, onViolation, PipelineChecks())

    private val streams = LinkedHashMap<RequestId, ActiveStream>()
    private val prefill = MovingMean(settings.prefillPerPosition)
    private val opener = GenerationOpener(self, address)
    private val links = StageLinks(settings.keepAliveInterval)
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

    /** Opens a stream and sends its prompt to a chain. Fails the stream if no chain covers the model. */
    fun open(spec: StreamSpec, now: Moment): List<StreamEffect> {
        val chain = chooseChain(ChainRequest(spec.pool, spec.prompt.size))
        if (chain == null || !chain.covers(spec.pool.layers)) {
            return listOf(StreamEffect.Fail(spec.id, refusals.noChain()))
        }
        val stream = ActiveStream(spec, chain, now)
        streams[spec.id] = stream
        return links.open(chain) + opener.promptFrame(stream, now)
    }

    /** Handles a message from a stage. */
    fun onMessage(message: StreamMessage, now: Moment): List<StreamEffect> {
        val stream = streams[message.request] ?: return emptyList()
        if (message is SampledToken && isLateToken(stream, message)) stream.lateToken = message
        if (checks.generation && message.generation != stream.generation) return emptyList()
        return when (message) {
            is SampledToken -> onToken(stream, message, now)
            is StageRefusal -> onRefusal(stream, message, now)
            is StageProgress -> onProgress(stream, message, now)
            else -> emptyList()
        }
    }

    /** Handles the loss of the stage at [to], after [message] could not be sent to it. */
    fun onSendFailed(to: PeerAddress, message: StreamMessage, now: Moment): List<StreamEffect> {
        val stream = streams[message.request]?.takeIf { it.generation == message.generation } ?: return emptyList()
        val peer = stream.chain.stages.firstOrNull { it.address == to }?.instance ?: return emptyList()
        val lost = StreamEffect.StageLost(peer)
        return listOf(lost) + when (message) {
            is Frame -> recovery.recover(stream, setOf(peer), RefusalReason.PEER_LOST, notRun = stream.notRun, now)
            is StageProbe -> recovery.onStageUnreachable(stream, peer, now)
            else -> emptyList()
        }
    }

    /** Probes the streams through the stage at [to] at once, after the connection to it ended. */
    fun onConnectionClosed(to: PeerAddress, now: Moment): List<StreamEffect> {
        val affected = streams.values.filter { it.probe == null && it.usesStageAt(to) }
        return affected.flatMap { probe(it, now) }
    }

    /** Closes the stream of a caller that disconnected. Nothing more is delivered. */
    fun cancel(request: RequestId): List<StreamEffect> = streams[request]?.let { close(it) }.orEmpty()

    /** Probes stalled streams, recovers failed ones, fails those past their deadline and sends due keep-alives. */
    fun onTick(now: Moment): List<StreamEffect> = streams.values.toList().flatMap { checkProgress(it, now) } +
        links.keepAlive(streams.values.map { it.chain }, now)

    private fun onToken(stream: ActiveStream, sampled: SampledToken, now: Moment): List<StreamEffect> {
        val index = stream.delivered.size
        if (checks.duplicates && sampled.index < index) return emptyList()
        if (checks.duplicates && sampled.index > index) return recovery.rerouteAfterGap(stream, now)
        val layers = stream.spec.pool.layers
        if (checks.trail && !sampled.trail.covers(layers)) return abort(stream, "the trail does not cover the model")
        recordProgress(stream, now)
        stream.delivered += sampled.token
        val loads = sampled.loads.map { StreamEffect.LoadReported(it.instance, it.load) }
        val deliver = StreamEffect.Deliver(stream.spec.id, index, sampled.token)
        return loads + deliver + finish(stream, sampled)
    }

    /** True for the next token if it belongs to the previous generation and the recovery kept the stages' state. */
    private fun isLateToken(stream: ActiveStream, sampled: SampledToken): Boolean {
        val keepsState = stream.plan?.strategy.let { it == RecoveryStrategy.RESUME || it == RecoveryStrategy.REPLACE }
        return keepsState &&
            stream.awaitsFirstToken &&
            sampled.generation.next() == stream.generation &&
            sampled.index == stream.delivered.size &&
            sampled.trail.covers(stream.spec.pool.layers)
    }

    /**
     * Delivers a token that was in transit when its stream recovered, then starts the recovery again after it.
     *
     * The first stage had received the token before the recovery, so it refuses to run the earlier position again.
     */
    private fun deliverLateToken(stream: ActiveStream, sampled: SampledToken, now: Moment): List<StreamEffect> {
        val plan = stream.plan ?: return emptyList()
        val deliver = StreamEffect.Deliver(stream.spec.id, stream.delivered.size, sampled.token)
        stream.delivered += sampled.token
        val end = finish(stream, sampled)
        return listOf(deliver) + end.ifEmpty { opener.startNextGeneration(stream, plan, now) }
    }

    private fun finish(stream: ActiveStream, sampled: SampledToken): List<StreamEffect> {
        val full = stream.delivered.size >= stream.spec.maxTokens
        val reason = if (full) FinishReason.LENGTH else sampled.finish
        return when {
            reason == null -> emptyList()
            reason == FinishReason.LENGTH && !full -> abort(stream, "the stream ended before its length")
            else -> listOf(StreamEffect.Finish(stream.spec.id, reason)) + close(stream)
        }
    }

    /** Updates the observed times and resets the stall detection after a token. */
    private fun recordProgress(stream: ActiveStream, now: Moment) {
        val elapsed = now - stream.lastProgressAt
        when {
            !stream.awaitsFirstToken -> stream.interToken.add(elapsed)
            stream.generation.value == 0 -> prefill.add(elapsed / stream.spec.prompt.size.coerceAtLeast(1))
        }
        stream.awaitsFirstToken = false
        stream.lastProgressAt = now
        stream.probe = null
        stream.resumed = false
        stream.lateToken = null
        stream.timeoutFactor = 1
    }

    private fun onRefusal(stream: ActiveStream, message: StageRefusal, now: Moment): List<StreamEffect> {
        val refusal = message.refusal
        val stage = refusal.peer ?: message.instance
        val update = directoryUpdate(stage, refusal.reason)
        val notRun = stream.notRun && refusal.outcome == Outcome.NOT_RUN && stage == stream.chain.first.instance
        if (refusal.reason != RefusalReason.STALE) {
            return listOf(update) + recovery.recover(stream, setOf(stage), refusal.reason, notRun, now)
        }
        val lateToken = stream.lateToken?.takeIf { stage == stream.chain.first.instance }
        if (lateToken != null) return deliverLateToken(stream, lateToken, now)
        stream.stageStateUsable = false
        return recovery.recover(stream, emptySet(), refusal.reason, notRun = false, now)
    }

    private fun directoryUpdate(peer: InstanceId, reason: RefusalReason) =
        if (reason == RefusalReason.PEER_LOST) StreamEffect.StageLost(peer) else StreamEffect.StageRefused(peer, reason)

    private fun onProgress(stream: ActiveStream, message: StageProgress, now: Moment): List<StreamEffect> {
        val probe = stream.probe ?: return emptyList()
        probe.answers[message.instance] = message
        return recovery.evaluateProbeIfConclusive(stream, probe, now)
    }

    private fun checkProgress(stream: ActiveStream, now: Moment): List<StreamEffect> {
        val probe = stream.probe
        return when {
            stream.spec.deadline <= now -> fail(stream, RefusalReason.DEADLINE, null, "the deadline passed")
            probe != null && now - probe.sentAt >= probeTimeout(stream) -> recovery.evaluateProbe(stream, probe, now)
            probe == null && now - stream.lastProgressAt >= stallTimeout(stream) -> probe(stream, now)
            else -> emptyList()
        }
    }

    private fun probeTimeout(stream: ActiveStream): Duration = maxOf(settings.probeTimeout, stream.interToken.value * 2)

    /** Time without a token after which the stages of [stream] are probed. */
    private fun stallTimeout(stream: ActiveStream): Duration {
        val betweenTokens = maxOf(settings.suspectFloor, stream.interToken.value * settings.suspectFactor)
        val beforeFirstToken = settings.prefillFloor + prefill.value * stream.positions * 2
        return (if (stream.awaitsFirstToken) betweenTokens + beforeFirstToken else betweenTokens) *
            stream.timeoutFactor
    }

    private fun probe(stream: ActiveStream, now: Moment): List<StreamEffect> {
        stream.probe = ActiveProbe(now)
        return opener.probes(stream)
    }

    /** Reports a violated invariant and ends the stream with it. */
    private fun abort(stream: ActiveStream, detail: String): List<StreamEffect> {
        val last = stream.chain.last.instance
        onViolation(InvariantViolation(stream.spec.id, last, detail))
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
