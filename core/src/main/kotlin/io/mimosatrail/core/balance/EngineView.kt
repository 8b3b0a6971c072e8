package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathEngine
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment

/**
 * Input of the path search: the engines of a service that hold layers of the model, are not draining and are not
 * avoided, each with its estimated load.
 *
 * The load is the sum of this entry's own streams and the load that other entries reported. Entries without a recent
 * report are assumed to have the average load of the known ones.
 */
class EngineView(
    private val traffic: UpstreamTraffic,
    private val peers: PeerLoads,
    private val profile: EngineProfile,
) {
    /**
     * The usable engines among [records] that are not in [excluded]. [entries] is the number of running entries. No new
     * stream may begin at the engines in [notFirst].
     */
    fun pathEngines(
        records: List<UpstreamRecord>,
        excluded: Set<InstanceId>,
        entries: Int,
        now: Moment,
        notFirst: Set<InstanceId> = emptySet(),
    ): List<PathEngine> {
        val loadScale = loadScale(entries, now)
        return records.mapNotNull { record ->
            if (record.isDraining || record.id in excluded) {
                null
            } else {
                pathEngine(record, loadScale, now, mayBeFirst = record.id !in notFirst)
            }
        }
    }

    /**
     * Estimated fraction of the KV cache of [record] that is in use; above 1 if overcommitted. Null if it holds no
     * layers or its accelerator kind is not in the profile.
     */
    fun kvUtilization(record: UpstreamRecord, entries: Int, now: Moment): Double? {
        val layers = record.layers ?: return null
        val accelerator = profile.kinds[record.kind] ?: return null
        val loadScale = loadScale(entries, now)
        val used = (traffic[record.id].tokenLayers + peers.at(record.id, now).tokenLayers) * loadScale
        return used / (profile.kvCapacityTokens(accelerator, layers.size).toDouble() * layers.size)
    }

    /** Factor that extrapolates the known load to all entries. */
    private fun loadScale(entries: Int, now: Moment): Double =
        (entries.toDouble() / (1 + peers.reportingCount(now))).coerceIn(1.0, MAX_LOAD_SCALE)

    private fun pathEngine(record: UpstreamRecord, loadScale: Double, now: Moment, mayBeFirst: Boolean): PathEngine? {
        val layers = record.layers?.takeIf { it.end <= profile.layers } ?: return null
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
            sequences = (row.sequences + others.sequences) * loadScale,
            tokenLayers = (row.tokenLayers + others.tokenLayers) * loadScale,
            tokenLayerCapacity =
            profile.kvCapacityTokens(accelerator, layers.size).toDouble() * layers.size * row.kvCapacityFactor(now),
            slowness = row.slowness,
            mayBeFirst = mayBeFirst,
        )
    }

    private companion object {
        /** Limits the estimate of an entry that has no reports yet, as after its start. */
        const val MAX_LOAD_SCALE = 2.0
    }
}
