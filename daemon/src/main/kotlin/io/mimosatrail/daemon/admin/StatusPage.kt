package io.mimosatrail.daemon.admin

import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.UpstreamDescription
import kotlinx.serialization.Serializable

/** The state of one daemon, as `GET /status` tells it. */
@Serializable
data class StatusPage(
    val self: InstanceEntry,
    val ready: Boolean,
    val draining: Boolean,
    val revision: Long,
    val requestsInFlight: Int,
    val upstreams: List<UpstreamDescription>,
    val instances: List<InstanceEntry>,
)
