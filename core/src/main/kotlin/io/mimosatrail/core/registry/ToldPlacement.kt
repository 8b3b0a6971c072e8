package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment

/**
 * Word from whoever ordered it that the upstream [id], in its life since [startedMillis], now serves [layers], null for
 * none. Counts until [until] or until the registry says the same.
 */
data class ToldPlacement(
    val id: InstanceId,
    val startedMillis: Long,
    val layers: LayerRange?,
    val until: Moment,
) {
    /** True where [listed], the upstream's own entry, makes this needless or wrong. */
    internal fun isOver(listed: UpstreamRecord?, now: Moment): Boolean =
        listed == null || now >= until || listed.startedMillis != startedMillis || listed.layers == layers
}
