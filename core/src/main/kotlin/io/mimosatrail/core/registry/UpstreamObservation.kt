package io.mimosatrail.core.registry

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment

/**
 * State of the upstream [id] that an entry has seen before the registry shows it: the [layers] that it serves, null if
 * none, and whether it is draining. Holds for the process that started at [startedMillis], until [expiresAt] or until
 * the registry shows the same state.
 */
data class UpstreamObservation(
    val id: InstanceId,
    val startedMillis: Long,
    val layers: LayerRange?,
    val isDraining: Boolean,
    val expiresAt: Moment,
) {
    /** True if the observation no longer applies, given [listed], the upstream's entry in the registry or null. */
    internal fun isObsolete(listed: UpstreamRecord?, now: Moment): Boolean {
        if (listed == null || now >= expiresAt) return true
        val hasRestarted = listed.startedMillis != startedMillis
        val isShown = listed.layers == layers && listed.isDraining == isDraining
        return hasRestarted || isShown
    }

    internal fun applyTo(listed: UpstreamRecord): UpstreamRecord =
        listed.copy(layers = layers, isDraining = listed.isDraining || isDraining)
}
