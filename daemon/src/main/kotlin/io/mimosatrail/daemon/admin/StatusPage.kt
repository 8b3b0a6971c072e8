package io.mimosatrail.daemon.admin

import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.UpstreamDescription
import kotlinx.serialization.Serializable

/**
 * Body of `GET /status`: the state of one daemon.
 *
 * [revision] is the number of the configuration in force. An entry lists in [upstreams] all that have described
 * themselves, a sidecar its own. [instances] is the last instance list that was read.
 */
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
