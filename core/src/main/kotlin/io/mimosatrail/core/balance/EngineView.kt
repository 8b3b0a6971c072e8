package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathEngine
import io.mimosatrail.core.placement.EngineProfile
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Moment

/**
 * The engines of a service as the path search sees them: those that hold layers, are not draining and are not avoided.
 *
 * This process knows only its own streams; others of its kind send about as many, hence [sharers], the number of
 * entries that use the same engines.
 */
class EngineView(private val traffic: UpstreamTraffic, private val profile: EngineProfile) {
    /** Rows for [records], without those in [excluded]. */
    fun rows(
        records: List<UpstreamRecord>,
        excluded: Set<InstanceId>,
        sharers: Double,
        now: Moment,
    ): List<PathEngine> = records.mapNotNull { record ->
        if (record.isDraining || record.id in excluded) null else row(record, sharers, now)
    }

    private fun row(record: UpstreamRecord, sharers: Double, now: Moment): PathEngine? {
        val layers = record.layers ?: return null
        val accelerator = profile.kinds[record.kind] ?: return null
        val row = traffic[record.id]
        if (row.isAvoided(now)) return null
        return PathEngine(
            id = record.id,
            address = record.address,
            place = record.place,
            accelerator = accelerator,
            layers = layers,
            sequences = row.sequences * sharers,
            tokenLayers = row.tokenLayers * sharers,
            room = profile.tokenRoom(accelerator, layers.size).toDouble() * layers.size,
            slowness = row.slowness,
        )
    }
}
