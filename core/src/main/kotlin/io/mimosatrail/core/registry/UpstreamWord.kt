package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment

/**
 * What an entry saw of the upstream [id], in its life since [startedMillis], before the registry shows it: the [layers]
 * that it serves, null for none, and whether it is draining. Counts until [until] or until the registry says the same.
 */
data class UpstreamWord(
    val id: InstanceId,
    val startedMillis: Long,
    val layers: LayerRange?,
    val isDraining: Boolean,
    val until: Moment,
) {
    /** True where [listed], the upstream's own entry, makes this needless or wrong. */
    internal fun isOver(listed: UpstreamRecord?, now: Moment): Boolean {
        if (listed == null || now >= until) return true
        val isAnotherLife = listed.startedMillis != startedMillis
        val isShown = listed.layers == layers && listed.isDraining == isDraining
        return isAnotherLife || isShown
    }

    internal fun applyTo(listed: UpstreamRecord): UpstreamRecord =
        listed.copy(layers = layers, isDraining = listed.isDraining || isDraining)
}
