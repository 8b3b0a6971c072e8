package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.directory.UpstreamDirectory
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallAnswer
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Forwards calls of plain services to sidecars.
 *
 * A call with an idempotency key goes to the owner of the key's slot; a call without one is idempotent and goes to any
 * upstream of the service.
 */
class CallForwarder(private val host: Host, directory: UpstreamDirectory) : Drainable {
    private val idempotentCalls = IdempotentCallForwarder(host, directory)
    private val ownerCaches = ConcurrentHashMap<ServiceId, SlotOwnerCache>()
    private val inFlight = AtomicInteger()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var isDraining = false

    /** Registers the metrics. */
    fun start() {
        host.meters.gauge("mimosatrail.calls.forwarded", inFlight)
    }

    /** Runs [call] at an upstream. Returns the answer, or why there is none and whether the call ran. */
    suspend fun call(call: ServiceCall): Result<CallAnswer, Refusal> {
        inFlight.incrementAndGet()
        try {
            if (isDraining) return Err(drainingRefusal())
            val key = call.key ?: return idempotentCalls.call(call)
            return keyedCall(call, key).call()
        } finally {
            if (inFlight.decrementAndGet() == 0 && isDraining) drained.complete(Unit)
        }
    }

    override fun startDraining() {
        isDraining = true
        if (inFlight.get() == 0) drained.complete(Unit)
    }

    override suspend fun awaitDrained() = drained.await()

    private fun keyedCall(call: ServiceCall, key: IdempotencyKey): KeyedCall {
        val cache = ownerCaches.computeIfAbsent(call.service.id) { SlotOwnerCache(it, host.store, host.clock) }
        return KeyedCall(host, cache, call, key)
    }

    private fun drainingRefusal() =
        Refusal(Outcome.NOT_RUN, RefusalReason.DRAINING, Step.ADMIT, host.self.id, "this entry is leaving", 0)
}
