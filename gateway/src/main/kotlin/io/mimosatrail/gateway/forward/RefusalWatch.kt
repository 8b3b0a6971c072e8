package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.EngineView
import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.front.FrontService
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.gossip.UpstreamObservations
import io.mimosatrail.gateway.wire.EngineControl
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/**
 * Updates what this entry knows of an upstream when it refuses a request. Layers that an engine has lost are removed
 * from the registry, a full engine gets less traffic, and an upstream that keeps refusing is checked for draining.
 */
internal class RefusalWatch(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val peerLoads: PeerLoads,
    private val entries: () -> Int,
    private val engines: EngineControl,
    private val observations: UpstreamObservations,
    private val access: UpstreamAccess,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val lastChecks = HashMap<InstanceId, Moment>()

    /** Records that [id] refused a request of [service], or its stage of one, and [end] is how the send ended. */
    fun onRefused(id: InstanceId, service: FrontService, end: SendEnd) {
        val now = clock()
        val record = registry[id] ?: return
        traffic.onRefusal(id, now)
        if (end == SendEnd.REJECTED) kvUtilization(record, service, now)?.let { traffic.onFull(id, it, now) }
        if (end == SendEnd.MISDIRECTED) {
            if (record.layers != null) observations.publish(record, layers = null, isDraining = record.isDraining)
            return
        }
        val isDue = lastChecks[id]?.let { now - it >= CHECK_INTERVAL } ?: true
        if (record.isDraining || !isDue || traffic[id].refusals < REFUSALS_BEFORE_CHECK) return
        if (!access.maySend(id)) return
        access.onSend(id)
        lastChecks[id] = now
        scope.launch {
            if (engines.isUnavailable(record, service.healthPath)) {
                observations.publish(record, record.layers, isDraining = true)
            }
        }
    }

    private fun kvUtilization(record: UpstreamRecord, service: FrontService, now: Moment): Double? =
        service.engine?.let { EngineView(traffic, peerLoads, it).kvUtilization(record, entries(), now) }

    private companion object {
        /** A single refusal may be due to a full KV cache; a second one in a row justifies a health check. */
        const val REFUSALS_BEFORE_CHECK = 2
        val CHECK_INTERVAL = 1.seconds
    }
}
