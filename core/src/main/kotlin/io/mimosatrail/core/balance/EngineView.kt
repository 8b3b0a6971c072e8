package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathEngine
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment

/**
 * The engines of a service as the path search sees them: those that hold layers, are not draining and are not avoided.
 *
 * The load is this entry's own and what the others told. Entries that were not heard are taken to have as much as the
 * average of those known.
 */
class EngineView(
    private val traffic: UpstreamTraffic,
    private val peers: PeerLoads,
    private val profile: EngineProfile,
) {
    /** Rows for [records], without those in [excluded], where [entries] entries are at work. */
    fun rows(records: List<UpstreamRecord>, excluded: Set<InstanceId>, entries: Int, now: Moment): List<PathEngine> {
        val unheard = unheard(entries, now)
        return records.mapNotNull { record ->
            if (record.isDraining || record.id in excluded) null else row(record, unheard, now)
        }
    }

    /** Share of the room of [record] that is taken to be in use, or null where it holds no layers. */
    fun usedShare(record: UpstreamRecord, entries: Int, now: Moment): Double? {
        val layers = record.layers ?: return null
        val accelerator = profile.kinds[record.kind] ?: return null
        val unheard = unheard(entries, now)
        val used = (traffic[record.id].tokenLayers + peers.at(record.id, now).tokenLayers) * unheard
        return used / (profile.kvCapacityTokens(accelerator, layers.size).toDouble() * layers.size)
    }

    private fun unheard(entries: Int, now: Moment): Double =
        (entries.toDouble() / (1 + peers.heard(now))).coerceIn(1.0, MOST_UNHEARD)

    private fun row(record: UpstreamRecord, unheard: Double, now: Moment): PathEngine? {
        val layers = record.layers ?: return null
        val accelerator = profile.kinds[record.kind] ?: return null
        val row = traffic[record.id]
        if (row.isAvoided(now)) return null
        val others = peers.at(record.id, now)
        return PathEngine(
            id = record.id,
            address = record.address,
            place = record.place,
            accelerator = accelerator,
            layers = layers,
            sequences = (row.sequences + others.sequences) * unheard,
            tokenLayers = (row.tokenLayers + others.tokenLayers) * unheard,
            tokenLayerCapacity =
            profile.kvCapacityTokens(accelerator, layers.size).toDouble() * layers.size * row.roomShare(now),
            slowness = row.slowness,
        )
    }

    private companion object {
        /** An entry that has heard nobody yet, as after its start, does not take the others to be many times busier. */
        const val MOST_UNHEARD = 2.0
    }
}
