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

    /** Upstreams that announced to this entry that they are leaving. */
    private val leaving = HashMap<InstanceId, Pair<ObservationMessage, Moment>>()

    /** Applies and publishes what this entry observed: [record] serves [layers], null if none, and may be draining. */
    fun publish(record: UpstreamRecord, layers: LayerRange?, isDraining: Boolean) {
        val observed = ObservationMessage(record.id, record.startedMillis, layers, isDraining)
        logEvent("registry", "seen", "upstream" to record.id, "layers" to layers, "draining" to isDraining)
        own[record.id] = observed to clock()
        onObservation(observed)
    }

    /** Applies and publishes that [record] announced that it is leaving. */
    fun publishLeaving(record: UpstreamRecord) {
        if (registry.isLeaving(record) && record.id in leaving) return
        logEvent("registry", "upstream-leaving", "upstream" to record.id, "started" to record.startedMillis)
        val observed =
            ObservationMessage(record.id, record.startedMillis, record.layers, isDraining = true, isLeaving = true)
        leaving[record.id] = observed to clock()
        onLeaving(observed)
    }

    /** Applies an observation that the entry [peer] made. */
    fun onObservation(observed: ObservationMessage, peer: InstanceId) {
        if (!observed.isLeaving) return onObservation(observed)
        val known = registry[observed.upstream]
        if (known != null && !known.isDraining) {
            logEvent(
                "registry",
                "upstream-leaving",
                "upstream" to observed.upstream,
                "started" to observed.startedMillis,
                "from" to peer,
                "age-ms" to observed.ageMillis,
            )
        }
        onLeaving(observed)
    }

    private fun onLeaving(observed: ObservationMessage) =
        traffic.onRegistry(registry.onLeaving(observed.upstream, observed.startedMillis, clock()))

    private fun onObservation(observed: ObservationMessage) {
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
        leaving.values.removeIf { (_, at) -> now - at > LEAVING_PUBLISH_TIME }
        return own.values.map { it.first } +
            leaving.values.map { (observed, at) -> observed.copy(ageMillis = (now - at).inWholeMilliseconds) }
    }

    private companion object {
        /** The registry shows new layers within a few heartbeats. */
        val PLACEMENT_LIFETIME: Duration = 4.seconds

        /** A draining upstream stops within seconds and leaves the registry then, unless the store is unavailable. */
        val DRAINING_LIFETIME: Duration = 10.seconds

        /** Several messages are sent within this time, so that the loss of one has no effect. */
        val PUBLISH_TIME: Duration = 2.seconds

        /** Several messages to each of some hundred entries are sent within this time. */
        val LEAVING_PUBLISH_TIME: Duration = 20.seconds
    }
}
