package io.mimosatrail.daemon.sidecar.call

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import io.mimosatrail.core.calls.CallKeys
import io.mimosatrail.core.calls.CallSettings
import io.mimosatrail.core.calls.ClaimJournal
import io.mimosatrail.core.calls.SlotEvent
import io.mimosatrail.core.calls.SlotLifecycle
import io.mimosatrail.core.calls.SlotSession
import io.mimosatrail.core.calls.WallTime
import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.id.Epoch
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WriterNonce
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallAnswer
import io.mimosatrail.protocol.CallRefused
import io.mimosatrail.protocol.PeerMessage
import io.mimosatrail.protocol.PlainCall
import io.mimosatrail.upstream.PlainClient
import io.mimosatrail.upstream.UpstreamError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger("calls")

private val JOURNAL_TICK = 10.milliseconds
private val SLOT_TICK = 1.seconds
private const val RETRY_AFTER_MILLIS = 200L

/**
 * Runs the calls of a plain service at its sidecar. Idempotent calls are sent to the upstream directly; other calls are
 * sent only after their claim is stored in the journal of this sidecar's epoch.
 */
class CallOwner(
    private val host: Host,
    private val client: PlainClient,
    private val settings: CallSettings = CallSettings(),
    private val wallClock: () -> WallTime = { WallTime(System.currentTimeMillis()) },
) : Drainable {
    private val service: ServiceId =
        checkNotNull(host.self.service) { "a call owner needs the service of its upstream" }
    private val keys = CallKeys(service)
    private val counters = CallCounters(host.meters)
    private val session = SlotSession(service, host.self.id, host.self.address, host.store, ::newNonce)
    private val slots = SlotLifecycle(session, settings, ::slotCount, ::newJournal, ::onSlotEvent)
    private val stepMutex = Mutex()
    private val journals = ConcurrentHashMap<Epoch, JournalHost>()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var isDraining = false

    /** Registers the message handler and the timers. */
    fun start() {
        host.messages.on<PlainCall> { _, call -> handle(call) }
        host.timers.every("calls: journal", JOURNAL_TICK) { tick() }
        host.timers.every("calls: slots", SLOT_TICK) { host.scope.launch { step() } }
    }

    /** Load of the upstream: the calls that it runs and those that wait at this sidecar. */
    fun load() = UpstreamLoad(
        waiting = (counters.pending.get() - counters.running.get()).coerceAtLeast(0),
        running = counters.running.get(),
        draining = isDraining,
    )

    override fun startDraining() {
        isDraining = true
        slots.leave()
        host.scope.launch { step() }
    }

    override suspend fun awaitDrained() = drained.await()

    private suspend fun step() {
        if (!stepMutex.tryLock()) return
        try {
            slots.step(wallClock())
        } finally {
            stepMutex.unlock()
        }
        if (isDraining && slots.hasLeft && counters.pending.get() == 0) drained.complete(Unit)
    }

    private fun tick() {
        journals.values.forEach { it.tick() }
        journals.entries.removeIf { (epoch, journal) -> isSuperseded(epoch) && journal.isIdle }
    }

    private fun isSuperseded(epoch: Epoch) = slots.current.let { it != null && epoch < it.epoch }

    private suspend fun handle(call: PlainCall): PeerMessage {
        if (call.service != service) return refuse(RefusalReason.NOT_FOUND, "this upstream serves $service", null)
        counters.pending.incrementAndGet()
        try {
            val key = call.key ?: return withLoad(callIdempotent(call))
            val journal = slots.current?.let { journals[it.epoch] }
                ?: return withLoad(refuse(RefusalReason.STALE, "this instance owns no slots yet", RETRY_AFTER_MILLIS))
            return withLoad(journal.call(call, key))
        } finally {
            counters.pending.decrementAndGet()
        }
    }

    /** Sends an idempotent [call] without a claim, so that it also works while the store is down. */
    private suspend fun callIdempotent(call: PlainCall): PeerMessage {
        if (isDraining) return refuse(RefusalReason.DRAINING, "this upstream is leaving", RETRY_AFTER_MILLIS)
        counters.running.incrementAndGet()
        try {
            return client.send(call, call.remainingMillis).mapBoth(
                success = { it.toMessage(replayed = false) },
                failure = { CallRefused(it.toRefusal()) },
            )
        } finally {
            counters.running.decrementAndGet()
        }
    }

    private fun UpstreamError.toRefusal(): Refusal {
        val outcome = if (this is UpstreamError.NotRun) Outcome.NOT_RUN else Outcome.UNKNOWN
        return Refusal(outcome, RefusalReason.UPSTREAM_ERROR, Step.SEND, host.self.id, detail, RETRY_AFTER_MILLIS)
    }

    private fun withLoad(message: PeerMessage): PeerMessage = when (message) {
        is CallAnswer -> with(message) { CallAnswer(status, headers, body, replayed, load()) }
        is CallRefused -> message.copy(load = load())
        else -> message
    }

    private fun refuse(reason: RefusalReason, detail: String, retryAfterMillis: Long?) =
        CallRefused(Refusal(Outcome.NOT_RUN, reason, Step.CLAIM, host.self.id, detail, retryAfterMillis))

    private fun slotCount(): Int? = (host.configuration().services[service] as? PlainService)?.slots

    private fun newJournal(epoch: Epoch): ClaimJournal {
        val journal = ClaimJournal(epoch, host.self.id, settings, ::newNonce, counters::onViolation)
        journals[epoch] = JournalHost(host, client, keys, counters, wallClock, journal)
        return journal
    }

    private fun onSlotEvent(event: SlotEvent) = when (event) {
        is SlotEvent.EpochStarted -> log.info { "calls: epoch ${event.epoch} started" }
        is SlotEvent.SlotsTaken ->
            log.info { "calls: epoch ${event.epoch} took over ${event.slots} slots with ${event.claims} claims" }
        is SlotEvent.EpochEnded -> log.info { "calls: epoch ${event.epoch} ended" }
        is SlotEvent.StoreFailed -> log.warn { "calls: a store operation for the slots failed: ${event.fault.detail}" }
    }

    private fun newNonce() = WriterNonce(UUID.randomUUID().toString())
}
