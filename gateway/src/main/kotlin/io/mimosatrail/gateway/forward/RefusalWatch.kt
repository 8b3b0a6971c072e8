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
 * Learns from refusals: an upstream that lost its layers is not used for them, a full one gets less, and one that keeps
 * refusing may be leaving.
 */
internal class RefusalWatch(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val peerLoads: PeerLoads,
    private val entries: () -> Int,
    private val engines: EngineControl,
    private val words: UpstreamObservations,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val checked = HashMap<InstanceId, Moment>()

    /** Notes that [id] refused a request of [service], or its part of one. */
    fun onRefused(id: InstanceId, service: FrontService, end: SendEnd) {
        val now = clock()
        val record = registry[id] ?: return
        traffic.onRefusal(id, now)
        if (end == SendEnd.REJECTED) usedShare(record, service, now)?.let { traffic.onFull(id, it, now) }
        if (end == SendEnd.MISDIRECTED) {
            if (record.layers != null) words.publish(record, layers = null, isDraining = record.isDraining)
            return
        }
        val isDue = checked[id]?.let { now - it >= CHECK_PAUSE } ?: true
        if (record.isDraining || !isDue || traffic[id].refusals < REFUSALS_TO_CHECK) return
        checked[id] = now
        scope.launch {
            if (engines.isLeaving(record, service.healthPath)) {
                words.publish(record, record.layers, isDraining = true)
            }
        }
    }

    private fun usedShare(record: UpstreamRecord, service: FrontService, now: Moment): Double? =
        service.engine?.let { EngineView(traffic, peerLoads, it).kvUtilization(record, entries(), now) }

    private companion object {
        /** One refusal may be for want of memory; a second in a row makes it worth a question. */
        const val REFUSALS_TO_CHECK = 2
        val CHECK_PAUSE = 1.seconds
    }
}
