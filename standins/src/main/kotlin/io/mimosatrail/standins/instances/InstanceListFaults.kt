package io.mimosatrail.standins.instances

import kotlinx.serialization.Serializable

/**
 * Faults of the instance list: [outage] answers 503, [frozen] shows the list as it stood when the fault began, and
 * [lagMillis] is by how much the list lags behind its writes.
 */
@Serializable
data class InstanceListFaults(val outage: Boolean = false, val frozen: Boolean = false, val lagMillis: Long = 0)
