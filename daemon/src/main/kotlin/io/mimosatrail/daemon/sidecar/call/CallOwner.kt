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
private const val RETRY_MILLIS = 200L

/**
 * The calls of a plain service at its sidecar: idempotent ones go straight to the upstream, the others only after their
 * claim stands in the journal of this sidecar's epoch.
 */
class CallOwner(
    private val host: Host,
    private val plain: PlainClient,
    private val settings: CallSettings = CallSettings(),
    private val wall: () -> WallTime = { WallTime(System.currentTimeMillis()) },
) : Drainable {
    private val service: ServiceId = checkNotNull(host.self.service) { "a call owner stands beside an upstream" }
    private val keys = CallKeys(service)
    private val counters = CallCounters(host.meters)
    private val session = SlotSession(service, host.self.id, host.self.address, host.store, ::newNonce)
    private val duty = SlotLifecycle(session, settings, ::slotCount, ::newJournal, ::onNotice)
    private val stepping = Mutex()
    private val journals = ConcurrentHashMap<Epoch, JournalHost>()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var isDraining = false

    /** Registers the messages and timers of this part. */
    fun start() {
        host.messages.on<PlainCall> { _, call -> handle(call) }
        host.timers.every("calls: journal", JOURNAL_TICK) { tick() }
        host.timers.every("calls: slots", SLOT_TICK) { host.scope.launch { step() } }
    }

    /** The load of the upstream as far as calls make it. */
    fun load() = UpstreamLoad(
        waiting = (counters.waiting.get() - counters.running.get()).coerceAtLeast(0),
        running = counters.running.get(),
        draining = isDraining,
    )

    override fun startDraining() {
        isDraining = true
        duty.leave()
        host.scope.launch { step() }
    }

    override suspend fun awaitDrained() = drained.await()

    private suspend fun step() {
        if (!stepping.tryLock()) return
        try {
            duty.step(wall())
        } finally {
            stepping.unlock()
        }
        if (isDraining && duty.hasLeft && counters.waiting.get() == 0) drained.complete(Unit)
    }

    private fun tick() {
        journals.values.forEach { it.tick() }
        journals.entries.removeIf { (epoch, journal) -> isOver(epoch) && journal.isQuiet }
    }

    private fun isOver(epoch: Epoch) = duty.current.let { it != null && epoch < it.epoch }

    private suspend fun handle(call: PlainCall): PeerMessage {
        if (call.service != service) return refuse(RefusalReason.NOT_FOUND, "this upstream serves $service", null)
        counters.waiting.incrementAndGet()
        try {
            val key = call.key ?: return withLoad(lookUp(call))
            val journal = duty.current?.let { journals[it.epoch] }
                ?: return withLoad(refuse(RefusalReason.STALE, "this instance owns no slots yet", RETRY_MILLIS))
            return withLoad(journal.call(call, key))
        } finally {
            counters.waiting.decrementAndGet()
        }
    }

    /** Idempotent calls need no claim and go on while the store is down. */
    private suspend fun lookUp(call: PlainCall): PeerMessage {
        if (isDraining) return refuse(RefusalReason.DRAINING, "this upstream is leaving", RETRY_MILLIS)
        counters.running.incrementAndGet()
        try {
            return plain.send(call, call.remainingMillis).mapBoth(
                success = { it.toMessage(replayed = false) },
                failure = { CallRefused(it.toRefusal()) },
            )
        } finally {
            counters.running.decrementAndGet()
        }
    }

    private fun UpstreamError.toRefusal(): Refusal {
        val outcome = if (this is UpstreamError.NotRun) Outcome.NOT_RUN else Outcome.UNKNOWN
        return Refusal(outcome, RefusalReason.UPSTREAM_ERROR, Step.SEND, host.self.id, detail, RETRY_MILLIS)
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
        val journal = ClaimJournal(epoch, host.self.id, settings, ::newNonce, counters::onViolated)
        journals[epoch] = JournalHost(host, plain, keys, counters, wall, journal)
        return journal
    }

    private fun onNotice(notice: SlotEvent) = when (notice) {
        is SlotEvent.EpochStarted -> log.info { "calls: epoch ${notice.epoch} began" }
        is SlotEvent.SlotsTaken ->
            log.info { "calls: epoch ${notice.epoch} took ${notice.slots} slots with ${notice.claims} claims" }
        is SlotEvent.EpochEnded -> log.info { "calls: epoch ${notice.epoch} ended" }
        is SlotEvent.StoreFailed -> log.warn { "calls: ${notice.fault.detail}" }
    }

    private fun newNonce() = WriterNonce(UUID.randomUUID().toString())
}
