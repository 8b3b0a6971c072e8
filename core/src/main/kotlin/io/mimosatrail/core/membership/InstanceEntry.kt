package io.mimosatrail.core.membership

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.net.PeerAddress
import kotlinx.serialization.Serializable

/** One row of the platform's list of instances. [service] is the service of a sidecar's upstream, null for an entry. */
@Serializable
data class InstanceEntry(
    val id: InstanceId,
    val role: InstanceRole,
    val place: PlaceId,
    val address: PeerAddress,
    val state: InstanceState = InstanceState.LIVE,
    val service: ServiceId? = null,
    val adminAddress: PeerAddress? = null,
)
