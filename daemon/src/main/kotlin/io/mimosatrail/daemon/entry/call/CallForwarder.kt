package io.mimosatrail.daemon.entry.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.directory.Directory
import io.mimosatrail.daemon.host.Drainable
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.protocol.CallAnswer
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Takes calls of plain services to a sidecar: those with a key to the owner of its slot, others to any upstream. */
class CallForwarder(private val host: Host, directory: Directory) : Drainable {
    private val lookups = LookupForwarder(host, directory)
    private val owners = ConcurrentHashMap<ServiceId, OwnerCache>()
    private val inFlight = AtomicInteger()
    private val drained = CompletableDeferred<Unit>()

    @Volatile
    private var isDraining = false

    /** Registers the meters of this part; it takes no messages. */
    fun start() {
        host.meters.gauge("mimosatrail.calls.forwarded", inFlight)
    }

    /** Runs [call] at an upstream and answers what is known of it. */
    suspend fun call(call: ServiceCall): Result<CallAnswer, Refusal> {
        inFlight.incrementAndGet()
        try {
            if (isDraining) return Err(draining())
            val key = call.key ?: return lookups.call(call)
            return keyed(call, key).call()
        } finally {
            if (inFlight.decrementAndGet() == 0 && isDraining) drained.complete(Unit)
        }
    }

    override fun startDraining() {
        isDraining = true
        if (inFlight.get() == 0) drained.complete(Unit)
    }

    override suspend fun awaitDrained() = drained.await()

    private fun keyed(call: ServiceCall, key: IdempotencyKey): KeyedCall {
        val cache = owners.computeIfAbsent(call.service.id) { OwnerCache(it, host.store, host.clock) }
        return KeyedCall(host, cache, call, key)
    }

    private fun draining() =
        Refusal(Outcome.NOT_RUN, RefusalReason.DRAINING, Step.ADMIT, host.self.id, "this entry is leaving", 0)
}
