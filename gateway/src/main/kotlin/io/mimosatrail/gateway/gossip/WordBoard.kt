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

/** Brings what entries saw of upstreams into the registry, and keeps for a while what this one has to tell. */
internal class WordBoard(
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val clock: Clock,
) {
    private val own = HashMap<InstanceId, Pair<ToldUpstream, Moment>>()

    /** Notes what this entry saw of [record]. */
    fun onSeen(record: UpstreamRecord, layers: LayerRange?, isDraining: Boolean) {
        val told = ToldUpstream(record.id, record.startedMillis, layers, isDraining)
        logEvent("registry", "seen", "upstream" to record.id, "layers" to layers, "draining" to isDraining)
        own[record.id] = told to clock()
        onTold(told)
    }

    /** Notes what another entry saw. */
    fun onTold(told: ToldUpstream) {
        val now = clock()
        val span = if (told.isDraining) DRAINING_SPAN else PLACEMENT_SPAN
        val word = UpstreamObservation(told.engine, told.startedMillis, told.layers, told.isDraining, now + span)
        traffic.onRegistry(registry.onObservation(word, now))
    }

    /** What the others may not know yet. */
    fun toTell(): List<ToldUpstream> {
        val now = clock()
        own.values.removeIf { (_, at) -> now - at > TELL_SPAN }
        return own.values.map { it.first }
    }

    private companion object {
        /** The registry shows a placement within a few heartbeats. */
        val PLACEMENT_SPAN: Duration = 4.seconds

        /** A draining upstream ends within seconds; its entry goes then, unless the store is away. */
        val DRAINING_SPAN: Duration = 10.seconds

        /** Several messages fit into this. */
        val TELL_SPAN: Duration = 2.seconds
    }
}
