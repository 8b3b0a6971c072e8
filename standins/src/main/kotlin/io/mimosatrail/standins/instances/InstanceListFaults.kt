package io.mimosatrail.standins.instances

import kotlinx.serialization.Serializable

/**
 * Faults of the instance list. With [outage] the list responds with 503. With [frozen] it keeps showing the rows that
 * were visible at the first read or change after the fault was set. [lagMillis] is the time until a change becomes
 * visible.
 */
@Serializable
data class InstanceListFaults(val outage: Boolean = false, val frozen: Boolean = false, val lagMillis: Long = 0)
