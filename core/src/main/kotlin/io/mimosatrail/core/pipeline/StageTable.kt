package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * State machine of the requests at one stage: runs frames on the engine, forwards the results and retains state for
 * the recovery of the next stage.
 *
 * Performs no I/O. Each event returns the effects that the host has to perform, in order. Not thread-safe.
 */
class StageTable internal constructor(
    private val self: InstanceId,
    private val settings: StageSettings,
    private val onViolation: ViolationListener,
    private val checks: PipelineChecks,
) {
    constructor(self: InstanceId, settings: StageSettings, onViolation: ViolationListener) :
        this(self, settings, onViolation, PipelineChecks())

    private val sequences = HashMap<RequestId, StageSequence>()
    private val ended = EndedRequests(settings.endedRetention)
    private val entryLastSeenAt = HashMap<InstanceId, Moment>()
    private val refusals = StageRefusals(self)
    private val emitter = StageEmitter(self, settings, refusals)
    private var openedSequences = 0L

    /** While true, new requests are refused and requests in progress continue. */
    var draining: Boolean = false

    /** Number of requests at this stage. */
    val size: Int get() = sequences.size

    /** Bytes of activations and KV snapshots retained for the recovery of next stages, over all requests. */
    val retainedBytes: Long get() = sequences.values.sumOf { it.retained.bytes }

    /** Handles a message from the entry or another stage. */
    fun onMessage(message: StreamMessage, now: Moment): List<StageEffect> = when (message) {
        is Frame -> onFrame(message, now)
        is SampledToken -> onToken(message, now)
        is StageProbe -> listOf(emitter.progress(message, sequences[message.request]))
        is StageSnapshot -> onSnapshot(message)
        is StageCancel -> onCancel(message, now)
        is StageRefusal, is StageProgress -> emptyList()
    }

    /** Records a heartbeat of [entry]. */
    fun onEntryHeartbeat(entry: InstanceId, now: Moment) {
        entryLastSeenAt[entry] = now
    }

    /**
     * Handles the engine's [result] for [work].
     *
     * If the sequence ended while the engine was running, its KV cache is freed once more, since the work may have
     * recreated it.
     */
    fun onResult(work: StageWork, result: StageResult, now: Moment): List<StageEffect> {
        val sequence = sequences[work.request]?.takeIf { it.name == work.sequence }
            ?: return listOf(StageEffect.Free(work.sequence))
        sequence.running = null
        return when {
            result is StageResult.Failed -> dropFailed(sequence, result, now)
            !result.fits(work, sequence.isLast) ->
                dropFailed(sequence, StageResult.Failed("the engine's output has the wrong size", false), now)
            else -> onWorkDone(sequence, work, result, now)
        }
    }

    /** Handles a KV cache exported by the engine by sending it to the previous stage. */
    fun onExported(request: RequestId, sequence: String, snapshot: KvSnapshot): List<StageEffect> {
        val found = sequences[request]?.takeIf { it.name == sequence } ?: return emptyList()
        return listOfNotNull(emitter.snapshot(found, snapshot))
    }

    /** Reports to the entry that the stage at [to] is unreachable, after [message] could not be sent to it. */
    fun onSendFailed(to: PeerAddress, message: StreamMessage): List<StageEffect> {
        if (message !is Frame && message !is SampledToken) return emptyList()
        val sequence = sequences[message.request]?.takeIf { it.generation == message.generation }
        val peer = sequence?.route?.chain?.stages?.firstOrNull { it.address == to } ?: return emptyList()
        return listOf(refusals.forUnreachable(sequence, peer.instance))
    }

    /** Ends requests whose deadline passed or whose entry has sent no heartbeat for [StageSettings.entrySilence]. */
    fun onTick(now: Moment): List<StageEffect> {
        ended.removeExpired(now)
        val expired = sequences.values.filter { it.deadline <= now || isSilent(it.route.entry, now) }
        entryLastSeenAt.values.removeAll { now - it > settings.entrySilence }
        return expired.map { end(it, it.generation, now) }
    }

    private fun isSilent(entry: InstanceId, now: Moment): Boolean {
        val last = entryLastSeenAt.getOrPut(entry) { now }
        return now - last > settings.entrySilence
    }

    private fun onFrame(frame: Frame, now: Moment): List<StageEffect> {
        val known = sequences[frame.request]
        if (known != null && checks.generation && frame.generation < known.generation) return emptyList()
        if (ended.covers(frame.request, frame.generation)) return emptyList()
        if (known != null && frame.generation <= known.generation) return accept(known, frame, now)
        return startGeneration(known, frame, now)
    }

    /** Reason to refuse a new request, or null if it can be admitted. */
    private fun admissionRefusal(): RefusalReason? = when {
        draining -> RefusalReason.DRAINING
        sequences.size >= settings.maxRequests -> RefusalReason.BUSY
        else -> null
    }

    /** Handles the first frame of a new generation; [known] is the sequence of an older generation, or null. */
    private fun startGeneration(known: StageSequence?, frame: Frame, now: Moment): List<StageEffect> {
        val route = frame.route ?: return emptyList()
        val stage = route.chain.stages.getOrNull(route.indexOf(self))
        entryLastSeenAt[route.entry] = now
        val opensRequest = frame.position == 0 || frame.restore != null
        val refusal = if (opensRequest && known == null) admissionRefusal() else null
        return when {
            stage == null || (checks.trail && stage.layers.first != frame.nextLayer) ->
                refuseViolation(route, frame, "the frame's next layer is not this stage's first")
            refusal != null -> refuse(route, frame, refusal, "the stage takes no new requests")
            opensRequest -> open(known, stage, frame, route, now)
            known == null -> refuse(route, frame, RefusalReason.STALE, "the stage holds no state of the request")
            known.stage.layers != stage.layers -> refuse(route, frame, RefusalReason.STALE, "the layers differ")
            else -> continueSequence(known, frame, route, now)
        }
    }

    /** Opens a new sequence and frees the one of the older generation, if there is one. */
    private fun open(known: StageSequence?, stage: Stage, frame: Frame, route: Route, now: Moment): List<StageEffect> {
        val name = "${frame.request}.${frame.generation}.${openedSequences++}"
        val deadline = now + route.remainingMillis.milliseconds
        val start = frame.restore?.from ?: 0
        val sequence = StageSequence(frame.request, name, frame.generation, route, stage, deadline, start)
        sequences[frame.request] = sequence
        val freed = known?.let { listOf(StageEffect.Free(it.name)) }.orEmpty()
        return freed + accept(sequence, frame, now)
    }

    /** Continues the sequence of an older generation with the state that it holds. */
    private fun continueSequence(known: StageSequence, frame: Frame, route: Route, now: Moment): List<StageEffect> {
        known.generation = frame.generation
        known.route = route
        known.deadline = now + route.remainingMillis.milliseconds
        known.emittedIndex = null
        return accept(known, frame, now)
    }

    /** Refuses a frame that violates an invariant, otherwise dispatches it. */
    private fun accept(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> = when {
        !frame.isWellFormed() ->
            refuseViolation(sequence.route, frame, "the frame's input does not match its positions")
        checks.trail && !frame.isNextFor(sequence.stage.layers) ->
            refuseViolation(sequence.route, frame, "the frame's trail does not end at this stage")
        else -> dispatch(sequence, frame, now)
    }

    /**
     * Runs [frame], or attaches it to running work for the same token, resends the output for a repeated frame, or
     * rejects a frame that does not continue the sequence.
     */
    private fun dispatch(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        val running = sequence.running
        return when {
            running != null && running.index == frame.index -> {
                sequence.currentFrame = frame
                emptyList()
            }

            running != null -> mismatch(sequence, frame)
            frame.index == sequence.lastIndex && checks.duplicates -> resendLastOutput(sequence, frame, now)
            frame.restore == null && frame.position > sequence.cachedPositions -> mismatch(sequence, frame)
            frame.end <= sequence.cachedPositions && checks.duplicates -> mismatch(sequence, frame)
            else -> run(sequence, frame, now)
        }
    }

    /** Answers a repeated frame from the last output, at most once per generation. */
    private fun resendLastOutput(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        if (sequence.emittedIndex == frame.index) return emptyList()
        sequence.currentFrame = frame
        return emit(sequence, now)
    }

    /**
     * Handles a frame that does not continue the sequence. Delayed duplicates are ignored; any other frame is refused
     * so that the entry starts a recovery.
     */
    private fun mismatch(sequence: StageSequence, frame: Frame): List<StageEffect> {
        if (sequence.emittedIndex != null && frame.index <= (sequence.lastIndex ?: -1)) return emptyList()
        return refuse(
            sequence.route,
            frame,
            RefusalReason.STALE,
            "holds ${sequence.cachedPositions}, asked ${frame.position}",
        )
    }

    private fun run(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        val work = sequence.workFor(frame, if (checks.duplicates) sequence.cachedPositions else frame.position)
        if (sequence.deadline <= now) return listOf(end(sequence, sequence.generation, now))
        sequence.currentFrame = frame
        sequence.running = work
        return listOf(StageEffect.Run(work))
    }

    private fun onWorkDone(
        sequence: StageSequence,
        work: StageWork,
        result: StageResult,
        now: Moment,
    ): List<StageEffect> {
        sequence.cachedPositions = work.end
        sequence.lastIndex = work.index
        sequence.lastOutput = StageOutput(work.position, work.end, result)
        if (result is StageResult.Activations) retain(sequence, work, result)
        return emit(sequence, now) + listOfNotNull(emitter.export(sequence, work))
    }

    private fun retain(sequence: StageSequence, work: StageWork, result: StageResult.Activations) {
        if (retainedBytes + result.bytes.size > settings.retainedBytes) return sequence.retained.discard()
        sequence.retained.append(work.position, work.count, result.bytes)
    }

    /** Sends the last output. A token that this stage would send to itself is handled directly. */
    private fun emit(sequence: StageSequence, now: Moment): List<StageEffect> {
        val effects = emitter.emit(sequence)
        val own = effects.filterIsInstance<StageEffect.Send>().filter { it.peer == self && it.message is SampledToken }
        return effects - own.toSet() + own.flatMap { onToken(it.message as SampledToken, now) }
    }

    /** Starts the next position at the first stage with the token that the last stage sampled. */
    private fun onToken(sampled: SampledToken, now: Moment): List<StageEffect> {
        val sequence = sequences[sampled.request]?.takeIf { it.isFirst } ?: return emptyList()
        if (checks.generation && sampled.generation != sequence.generation) return emptyList()
        if (sampled.index != sequence.lastIndex || sequence.running != null) return emptyList()
        if (checks.trail && !sampled.trail.covers(sequence.route.modelLayers)) {
            onViolation(InvariantViolation(sampled.request, self, "the token's trail does not cover the model"))
            return emptyList()
        }
        return accept(sequence, emitter.frameForToken(sequence, sampled), now)
    }

    private fun onSnapshot(message: StageSnapshot): List<StageEffect> {
        val sequence = sequences[message.request]?.takeIf { it.generation == message.generation && !it.isLast }
        if (sequence == null || sequence.next.instance != message.instance) return emptyList()
        val fits = retainedBytes + message.snapshot.state.size <= settings.retainedBytes
        if (fits) sequence.retained.replaceSnapshot(message.snapshot)
        return emptyList()
    }

    private fun onCancel(message: StageCancel, now: Moment): List<StageEffect> {
        ended.add(message.request, message.generation, now)
        val sequence = sequences[message.request]?.takeIf { it.generation <= message.generation }
        return listOfNotNull(sequence?.let { end(it, message.generation, now) })
    }

    private fun end(sequence: StageSequence, generation: Generation, now: Moment): StageEffect {
        sequences.remove(sequence.request)
        ended.add(sequence.request, generation, now)
        return StageEffect.Free(sequence.name)
    }

    private fun dropFailed(sequence: StageSequence, failed: StageResult.Failed, now: Moment): List<StageEffect> =
        listOf(end(sequence, sequence.generation, now), refusals.forFailedWork(sequence, failed))

    private fun refuseViolation(route: Route, frame: Frame, detail: String): List<StageEffect> {
        onViolation(InvariantViolation(frame.request, self, detail))
        return refuse(route, frame, RefusalReason.INVARIANT, detail)
    }

    private fun refuse(route: Route, frame: Frame, reason: RefusalReason, detail: String): List<StageEffect> =
        listOf(refusals.forFrame(route, frame, reason, detail))
}
