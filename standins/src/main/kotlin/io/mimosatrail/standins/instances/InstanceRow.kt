package io.mimosatrail.standins.instances

import kotlinx.serialization.Serializable

/** Host and port of an instance. */
@Serializable
data class Address(val host: String, val port: Int)

/**
 * One row of the instance list. [role] is `entry` or `sidecar`, [state] is `live` or `leaving`. [service] and
 * [adminAddress] are null if the instance has none.
 */
@Serializable
data class InstanceRow(
    val id: String,
    val role: String,
    val place: String,
    val address: Address,
    val state: String = "live",
    val service: String? = null,
    val adminAddress: Address? = null,
)

@Serializable
internal data class InstancesBody(val instances: List<InstanceRow>)
