package io.mimosatrail.daemon.sidecar.stage

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.pipeline.Frame
import io.mimosatrail.core.pipeline.InvariantViolation
import io.mimosatrail.core.pipeline.KvSnapshot
import io.mimosatrail.core.pipeline.SampledToken
import io.mimosatrail.core.pipeline.StageEffect
import io.mimosatrail.core.pipeline.StageLoad
import io.mimosatrail.core.pipeline.StageRefusal
import io.mimosatrail.core.pipeline.StageResult
import io.mimosatrail.core.pipeline.StageSettings
import io.mimosatrail.core.pipeline.StageTable
import io.mimosatrail.core.pipeline.StageWork
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.outbox.StreamOutbox
import io.mimosatrail.protocol.EntryHeartbeat
import io.mimosatrail.protocol.StreamEnvelope
import io.mimosatrail.upstream.EngineClient
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger("stage")
private val tickPeriod = 250.milliseconds

/** A stage adds its load to the messages of every sixteenth token. */
private const val LOAD_INTERVAL_TOKENS = 16

/** Runs one engine's layers for streams: passes messages to a [StageTable] and carries out its effects. */
class StageRunner(
    private val host: Host,
    private val engine: EngineClient,
    settings: StageSettings = StageSettings(),
) : Drainable {
    private val table = StageTable(host.self.id, settings, ::onViolation)
    private val requests = MutableStateFlow(0)
    private val violations = host.meters.counter("mimosatrail.stage.violations")
    private val outbox = StreamOutbox(host) { outgoing, _ -> onSendFailed(outgoing) }
    private val decode = EngineQueue(host.scope, engine, host.clock, ::onResult)
    private val prefill = EngineQueue(host.scope, engine, host.clock, ::onResult)

    /** Registers the message handlers, the timer and the gauges. */
    fun start() {
        host.messages.on<StreamEnvelope> { _, envelope ->
            apply { table.onMessage(envelope.message, host.clock()) }
            null
        }
        host.messages.on<EntryHeartbeat> { from, _ ->
            synchronized(table) { table.onEntryHeartbeat(from, host.clock()) }
            null
        }
        host.timers.every("stage", tickPeriod) { now -> apply { table.onTick(now) } }
        host.meters.gauge("mimosatrail.stage.requests", requests) { it.value.toDouble() }
        host.meters.gauge("mimosatrail.stage.retained.bytes", this) { it.retainedBytes().toDouble() }
    }

    /** Load of the engine, from the requests and the work queues of this process. */
    fun load(): UpstreamLoad = UpstreamLoad(
        waiting = decode.waiting + prefill.waiting,
        running = requests.value,
        meanStepMicros = decode.meanMicros,
        draining = table.draining,
    )

    /** The engine's model, layers and KV cache, or null if the engine does not answer. */
    suspend fun describe(): EngineDescription? = engine.state().get()?.let {
        EngineDescription(
            it.model,
            it.version,
            it.layers,
            it.modelLayers,
            it.kind,
            it.kvBytesPerToken,
            it.kvCapacityBytes,
            it.adapters,
            it.role,
        )
    }

    override fun startDraining() {
        synchronized(table) { table.draining = true }
    }

    override suspend fun awaitDrained() {
        requests.first { it == 0 }
    }

    private fun retainedBytes() = synchronized(table) { table.retainedBytes }

    private fun apply(event: () -> List<StageEffect>) {
        synchronized(table) {
            event().forEach { perform(it) }
            requests.value = table.size
        }
    }

    private fun perform(effect: StageEffect) {
        when (effect) {
            is StageEffect.Send -> outbox.send(effect.to, StreamEnvelope(withLoad(effect.message)))
            is StageEffect.Run -> queueOf(effect.work).add(effect.work)
            is StageEffect.Free -> host.scope.launch { engine.free(effect.sequence) }
            is StageEffect.Export -> host.scope.launch { export(effect) }
        }
    }

    private fun queueOf(work: StageWork) = if (work.count > 1) prefill else decode

    private fun withLoad(message: StreamMessage): StreamMessage = when {
        message is StageRefusal -> message.copy(load = load())
        message is SampledToken && message.index % LOAD_INTERVAL_TOKENS == 0 ->
            message.copy(loads = message.loads + StageLoad(host.self.id, load()))

        message is Frame && message.index % LOAD_INTERVAL_TOKENS == 0 ->
            message.withLoad(StageLoad(host.self.id, load()))

        else -> message
    }

    private suspend fun export(effect: StageEffect.Export) {
        engine.exportKv(effect.sequence).onSuccess { state ->
            val snapshot = KvSnapshot(state.positions, state.state)
            apply { table.onExported(effect.request, effect.sequence, snapshot) }
        }
    }

    private fun onResult(work: StageWork, result: StageResult) {
        apply { table.onResult(work, result, host.clock()) }
    }

    private fun onSendFailed(outgoing: StreamOutbox.Outgoing) {
        val message = (outgoing.message as? StreamEnvelope)?.message ?: return
        apply { table.onSendFailed(outgoing.to, message) }
    }

    private fun onViolation(violation: InvariantViolation) {
        violations.increment()
        log.error { "stage: ${violation.request} refused: ${violation.detail}" }
    }
}
