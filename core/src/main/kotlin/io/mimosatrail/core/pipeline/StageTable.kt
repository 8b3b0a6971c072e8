package io.mimosatrail.core.pipeline

import io.mimosatrail.core.id.Generation
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * The requests at one stage: which frames run, what is passed on, and what is kept for recovery.
 *
 * Events go in and effects come out; the host performs the effects in order. Not safe for use by several threads.
 */
class StageTable internal constructor(
    private val self: InstanceId,
    private val settings: StageSettings,
    private val violated: ViolationListener,
    private val checks: PipelineChecks,
) {
    constructor(self: InstanceId, settings: StageSettings, violated: ViolationListener) :
        this(self, settings, violated, PipelineChecks())

    private val sequences = HashMap<RequestId, StageSequence>()
    private val ended = EndedRequests(settings.endedMemory)
    private val heard = HashMap<InstanceId, Moment>()
    private val refusals = StageRefusals(self)
    private val emitter = StageEmitter(self, settings, refusals)
    private var opened = 0L

    /** True where the stage takes no new requests. */
    var draining: Boolean = false

    /** Number of requests at this stage. */
    val size: Int get() = sequences.size

    /** Bytes kept for the recovery of next stages. */
    val retainedBytes: Long get() = sequences.values.sumOf { it.retained.bytes }

    /** A message of a stream arrived. */
    fun onMessage(message: StreamMessage, now: Moment): List<StageEffect> = when (message) {
        is Frame -> onFrame(message, now)
        is SampledToken -> onToken(message, now)
        is StageProbe -> listOf(emitter.progress(message, sequences[message.request]))
        is StageSnapshot -> onSnapshot(message)
        is StageCancel -> onCancel(message, now)
        is StageRefusal, is StageProgress -> emptyList()
    }

    /** [entry] is alive. */
    fun onAlive(entry: InstanceId, now: Moment) {
        heard[entry] = now
    }

    /** The engine answered [work]. A sequence that ended while its work ran is freed again. */
    fun onResult(work: StageWork, result: StageResult, now: Moment): List<StageEffect> {
        val sequence = sequences[work.request]?.takeIf { it.name == work.sequence }
            ?: return listOf(StageEffect.Free(work.sequence))
        sequence.running = null
        return when {
            result is StageResult.Failed -> dropFailed(sequence, result, now)
            !result.fits(work, sequence.isLast) ->
                dropFailed(sequence, StageResult.Failed("the engine's output has the wrong size", false), now)
            else -> ran(sequence, work, result, now)
        }
    }

    /** The engine exported the KV cache of a request; it goes to the stage before. */
    fun onExported(request: RequestId, sequence: String, snapshot: KvSnapshot): List<StageEffect> {
        val found = sequences[request]?.takeIf { it.name == sequence } ?: return emptyList()
        return listOfNotNull(emitter.snapshot(found, snapshot))
    }

    /** [message] could not be sent to [to]. */
    fun onUnsent(to: PeerAddress, message: StreamMessage): List<StageEffect> {
        if (message !is Frame && message !is SampledToken) return emptyList()
        val sequence = sequences[message.request]?.takeIf { it.generation == message.generation }
        val peer = sequence?.route?.chain?.stages?.firstOrNull { it.address == to } ?: return emptyList()
        return listOf(refusals.unreachable(sequence, peer.instance))
    }

    /** Ends requests whose deadline passed or whose entry is silent. */
    fun onTick(now: Moment): List<StageEffect> {
        ended.forget(now)
        val late = sequences.values.filter { it.deadline <= now || isSilent(it.route.entry, now) }
        heard.values.removeAll { now - it > settings.entrySilence }
        return late.map { end(it, it.generation, now) }
    }

    private fun isSilent(entry: InstanceId, now: Moment): Boolean {
        val last = heard.getOrPut(entry) { now }
        return now - last > settings.entrySilence
    }

    private fun onFrame(frame: Frame, now: Moment): List<StageEffect> {
        val known = sequences[frame.request]
        if (known != null && checks.generation && frame.generation < known.generation) return emptyList()
        if (ended.covers(frame.request, frame.generation)) return emptyList()
        if (known != null && frame.generation <= known.generation) return accept(known, frame, now)
        return adopt(known, frame, now)
    }

    /** Why no new request may open, or null. */
    private fun barredBy(): RefusalReason? = when {
        draining -> RefusalReason.DRAINING
        sequences.size >= settings.maxRequests -> RefusalReason.BUSY
        else -> null
    }

    /** Takes the first frame of a generation. */
    private fun adopt(known: StageSequence?, frame: Frame, now: Moment): List<StageEffect> {
        val route = frame.route ?: return emptyList()
        val stage = route.chain.stages.getOrNull(route.indexOf(self))
        heard[route.entry] = now
        val opens = frame.position == 0 || frame.restore != null
        val barred = if (opens && known == null) barredBy() else null
        return when {
            stage == null || (checks.trail && stage.layers.first != frame.nextLayer) ->
                violate(route, frame, "the frame's next layer is not this stage's first")
            barred != null -> refuse(route, frame, barred, "the stage takes no new requests")
            opens -> open(known, stage, frame, route, now)
            known == null -> refuse(route, frame, RefusalReason.STALE, "the stage holds no state of the request")
            known.stage.layers != stage.layers -> refuse(route, frame, RefusalReason.STALE, "the layers differ")
            else -> carryOn(known, frame, route, now)
        }
    }

    private fun open(known: StageSequence?, stage: Stage, frame: Frame, route: Route, now: Moment): List<StageEffect> {
        val name = "${frame.request}.${frame.generation}.${opened++}"
        val deadline = now + route.remainingMillis.milliseconds
        val start = frame.restore?.from ?: 0
        val sequence = StageSequence(frame.request, name, frame.generation, route, stage, deadline, start)
        sequences[frame.request] = sequence
        val freed = known?.let { listOf(StageEffect.Free(it.name)) }.orEmpty()
        return freed + accept(sequence, frame, now)
    }

    private fun carryOn(known: StageSequence, frame: Frame, route: Route, now: Moment): List<StageEffect> {
        known.generation = frame.generation
        known.route = route
        known.deadline = now + route.remainingMillis.milliseconds
        known.emittedIndex = null
        return accept(known, frame, now)
    }

    private fun accept(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> = when {
        !frame.isWellFormed() ->
            violate(sequence.route, frame, "the frame's input does not match its positions")
        checks.trail && !frame.leadsTo(sequence.stage.layers) ->
            violate(sequence.route, frame, "the frame's trail does not end at this stage")
        else -> place(sequence, frame, now)
    }

    /** Decides whether [frame] waits for the current work, repeats the last, runs, or doesn't fit. */
    private fun place(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        val running = sequence.running
        return when {
            running != null && running.index == frame.index -> {
                sequence.wanted = frame
                emptyList()
            }

            running != null -> mismatch(sequence, frame)
            frame.index == sequence.lastIndex && checks.duplicates -> repeat(sequence, frame, now)
            frame.restore == null && frame.position > sequence.held -> mismatch(sequence, frame)
            frame.end <= sequence.held && checks.duplicates -> mismatch(sequence, frame)
            else -> run(sequence, frame, now)
        }
    }

    /** Answers the last index again from the kept output, once a generation. */
    private fun repeat(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        if (sequence.emittedIndex == frame.index) return emptyList()
        sequence.wanted = frame
        return emit(sequence, now)
    }

    /** A frame that does not follow what ran here: old copies are ignored, the first of a generation is refused. */
    private fun mismatch(sequence: StageSequence, frame: Frame): List<StageEffect> {
        if (sequence.emittedIndex != null && frame.index <= (sequence.lastIndex ?: -1)) return emptyList()
        return refuse(sequence.route, frame, RefusalReason.STALE, "holds ${sequence.held}, asked ${frame.position}")
    }

    private fun run(sequence: StageSequence, frame: Frame, now: Moment): List<StageEffect> {
        val work = sequence.workFor(frame, if (checks.duplicates) sequence.held else frame.position)
        if (sequence.deadline <= now) return listOf(end(sequence, sequence.generation, now))
        sequence.wanted = frame
        sequence.running = work
        return listOf(StageEffect.Run(work))
    }

    private fun ran(sequence: StageSequence, work: StageWork, result: StageResult, now: Moment): List<StageEffect> {
        sequence.held = work.end
        sequence.lastIndex = work.index
        sequence.lastOutput = StageOutput(work.position, work.end, result)
        if (result is StageResult.Activations) retain(sequence, work, result)
        return emit(sequence, now) + listOfNotNull(emitter.export(sequence, work))
    }

    private fun retain(sequence: StageSequence, work: StageWork, result: StageResult.Activations) {
        if (retainedBytes + result.bytes.size > settings.retainedBytes) return sequence.retained.drop()
        sequence.retained.append(work.position, work.count, result.bytes)
    }

    private fun emit(sequence: StageSequence, now: Moment): List<StageEffect> {
        val effects = emitter.emit(sequence)
        val own = effects.filterIsInstance<StageEffect.Send>().filter { it.peer == self && it.message is SampledToken }
        return effects - own.toSet() + own.flatMap { onToken(it.message as SampledToken, now) }
    }

    /** The last stage's token comes back to the first, which goes on with it. */
    private fun onToken(sampled: SampledToken, now: Moment): List<StageEffect> {
        val sequence = sequences[sampled.request]?.takeIf { it.isFirst } ?: return emptyList()
        if (checks.generation && sampled.generation != sequence.generation) return emptyList()
        if (sampled.index != sequence.lastIndex || sequence.running != null) return emptyList()
        if (checks.trail && !sampled.trail.covers(sequence.route.modelLayers)) {
            violated(InvariantViolation(sampled.request, self, "the token's trail does not cover the model"))
            return emptyList()
        }
        return accept(sequence, emitter.embed(sequence, sampled), now)
    }

    private fun onSnapshot(message: StageSnapshot): List<StageEffect> {
        val sequence = sequences[message.request]?.takeIf { it.generation == message.generation && !it.isLast }
        if (sequence == null || sequence.next.instance != message.instance) return emptyList()
        val fits = retainedBytes + message.snapshot.state.size <= settings.retainedBytes
        if (fits) sequence.retained.keep(message.snapshot)
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
        listOf(end(sequence, sequence.generation, now), refusals.failed(sequence, failed))

    private fun violate(route: Route, frame: Frame, detail: String): List<StageEffect> {
        violated(InvariantViolation(frame.request, self, detail))
        return refuse(route, frame, RefusalReason.INVARIANT, detail)
    }

    private fun refuse(route: Route, frame: Frame, reason: RefusalReason, detail: String): List<StageEffect> =
        listOf(refusals.frame(route, frame, reason, detail))
}
