package io.mimosatrail.daemon.entry.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.pipeline.InvariantViolation
import io.mimosatrail.core.pipeline.StreamEffect
import io.mimosatrail.core.pipeline.StreamSettings
import io.mimosatrail.core.pipeline.StreamSpec
import io.mimosatrail.core.pipeline.StreamTable
import io.mimosatrail.core.pipeline.observedForecast
import io.mimosatrail.core.routing.ChainChooser
import io.mimosatrail.core.routing.StageChooser
import io.mimosatrail.daemon.entry.directory.UpstreamDirectory
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.outbox.StreamOutbox
import io.mimosatrail.protocol.EntryHeartbeat
import io.mimosatrail.protocol.StreamEnvelope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger("streams")
private val tickPeriod = 20.milliseconds

/** Runs model requests over chains of stages and delivers to each caller its tokens, once and in order. */
class StreamRouter(
    private val host: Host,
    chooseChain: ChainChooser,
    chooseStage: StageChooser,
    private val directory: UpstreamDirectory,
) : Drainable {
    private val lock = Any()
    private val channels = HashMap<RequestId, Channel<StreamEvent>>()
    private val openStreams = MutableStateFlow(0)
    private val violations = host.meters.counter("mimosatrail.stream.violations")
    private val outbox = StreamOutbox(host) { outgoing, _ -> onSendFailed(outgoing) }
    private val table = StreamTable(
        host.self.id,
        host.self.address,
        StreamSettings(),
        chooseChain,
        chooseStage,
        observedForecast,
        ::onViolation,
    )

    @Volatile
    private var isDraining = false

    /** Starts receiving messages of stages and checking the open streams. */
    fun start() {
        host.messages.on<StreamEnvelope> { _, envelope ->
            handleEvent { table.onMessage(envelope.message, host.clock()) }
            null
        }
        host.timers.every("streams", tickPeriod) { now -> handleEvent { table.onTick(now) } }
        host.scope.launch {
            host.peers.closedLinks.collect { to -> handleEvent { table.onConnectionClosed(to, host.clock()) } }
        }
        host.meters.gauge("mimosatrail.streams.open", openStreams) { it.value.toDouble() }
    }

    /** Runs [request] while the flow is collected. Cancelling the collection cancels the request at every stage. */
    fun open(request: ModelRequest): Flow<StreamEvent> = flow {
        if (isDraining) return@flow emit(StreamEvent.Failed(drainingRefusal()))
        val events = Channel<StreamEvent>(Channel.UNLIMITED)
        if (!register(request, events)) return@flow emit(StreamEvent.Failed(duplicateRefusal(request.id)))
        try {
            for (event in events) emit(event)
        } finally {
            unregister(request.id, events)
        }
    }

    override fun startDraining() {
        isDraining = true
    }

    override suspend fun awaitDrained() {
        openStreams.first { it == 0 }
    }

    /** Opens the stream of [request]; false if one with the same id is open already. */
    private fun register(request: ModelRequest, events: Channel<StreamEvent>): Boolean {
        synchronized(lock) {
            if (channels.putIfAbsent(request.id, events) != null) return false
            openStreams.value = channels.size
        }
        handleEvent { table.open(specOf(request), host.clock()) }
        return true
    }

    private fun unregister(request: RequestId, events: Channel<StreamEvent>) {
        handleEvent { table.cancel(request) }
        synchronized(lock) {
            channels.remove(request, events)
            openStreams.value = channels.size
        }
    }

    private fun specOf(request: ModelRequest) = StreamSpec(
        request.id,
        request.pool,
        request.prompt,
        request.maxTokens,
        request.priority,
        request.deadline,
    )

    private fun onSendFailed(outgoing: StreamOutbox.Outgoing) {
        val message = (outgoing.message as? StreamEnvelope)?.message ?: return
        handleEvent { table.onSendFailed(outgoing.to, message, host.clock()) }
    }

    /** Runs [event] on the table and performs its effects, under the lock. */
    private fun handleEvent(event: () -> List<StreamEffect>) {
        synchronized(lock) { event().forEach { perform(it) } }
    }

    private fun perform(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Send -> outbox.send(effect.to.address, StreamEnvelope(effect.message))
            is StreamEffect.KeepAlive -> outbox.send(effect.to.address, EntryHeartbeat)
            is StreamEffect.Deliver -> channels[effect.request]?.trySend(StreamEvent.Token(effect.index, effect.token))
            is StreamEffect.Finish -> close(effect.request, StreamEvent.Finished(effect.reason))
            is StreamEffect.Fail -> close(effect.request, StreamEvent.Failed(effect.refusal))
            is StreamEffect.LoadReported -> directory.onLoad(effect.instance, effect.load)
            is StreamEffect.StageRefused -> directory.onRefused(effect.instance, effect.reason)
            is StreamEffect.StageLost -> directory.onLost(effect.instance)
            is StreamEffect.Recovering -> onRecovering(effect)
        }
    }

    /** Delivers the last event of a stream to its caller. */
    private fun close(request: RequestId, event: StreamEvent) {
        val events = channels[request] ?: return
        events.trySend(event)
        events.close()
    }

    private fun onRecovering(effect: StreamEffect.Recovering) {
        host.meters.counter("mimosatrail.stream.recoveries", "way", effect.strategy.name.lowercase()).increment()
        log.info { "streams: ${effect.request} recovers by ${effect.strategy.name.lowercase()}" }
    }

    private fun onViolation(violation: InvariantViolation) {
        violations.increment()
        log.error { "streams: ${violation.request} failed: ${violation.detail} at ${violation.peer}" }
    }

    private fun drainingRefusal() =
        Refusal(Outcome.NOT_RUN, RefusalReason.DRAINING, Step.ADMIT, host.self.id, "the entry is leaving", 0)

    private fun duplicateRefusal(id: RequestId) =
        Refusal(Outcome.NOT_RUN, RefusalReason.CONFLICT, Step.ADMIT, host.self.id, "request $id is already open")
}
