package io.mimosatrail.gateway.gossip

import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.registry.UpstreamObservation
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.time.Clock
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Applies observations of upstreams, made by this or other entries, to the local copy of the registry before the store
 * shows them. Recent observations of this entry are kept to be sent to the others.
 */
internal class UpstreamObservations(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val clock: Clock,
) {
    private val own = HashMap<InstanceId, Pair<ObservationMessage, Moment>>()

    /** Applies and publishes what this entry observed: [record] serves [layers], null if none, and may be draining. */
    fun publish(record: UpstreamRecord, layers: LayerRange?, isDraining: Boolean) {
        val observed = ObservationMessage(record.id, record.startedMillis, layers, isDraining)
        logEvent("registry", "seen", "upstream" to record.id, "layers" to layers, "draining" to isDraining)
        own[record.id] = observed to clock()
        onObservation(observed)
    }

    /** Applies an observation of this or another entry to the registry. */
    fun onObservation(observed: ObservationMessage) {
        val now = clock()
        val lifetime = if (observed.isDraining) DRAINING_LIFETIME else PLACEMENT_LIFETIME
        val observation = UpstreamObservation(
            observed.upstream,
            observed.startedMillis,
            observed.layers,
            observed.isDraining,
            now + lifetime,
        )
        traffic.onRegistry(registry.onObservation(observation, now))
    }

    /** Recent observations of this entry, which the other entries may not know yet. */
    fun recent(): List<ObservationMessage> {
        val now = clock()
        own.values.removeIf { (_, at) -> now - at > PUBLISH_TIME }
        return own.values.map { it.first }
    }

    private companion object {
        /** The registry shows new layers within a few heartbeats. */
        val PLACEMENT_LIFETIME: Duration = 4.seconds

        /** A draining upstream stops within seconds and leaves the registry then, unless the store is unavailable. */
        val DRAINING_LIFETIME: Duration = 10.seconds

        /** Several messages are sent within this time, so that the loss of one has no effect. */
        val PUBLISH_TIME: Duration = 2.seconds
    }
}
