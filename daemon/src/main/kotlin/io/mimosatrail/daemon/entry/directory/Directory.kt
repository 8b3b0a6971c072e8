package io.mimosatrail.daemon.entry.directory

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason

/** What an entry knows of upstreams: hints, corrected by the sidecars' replies and refusals. */
interface Directory {
    /** Upstreams of [service] that may take new work. */
    fun upstreamsOf(service: ServiceId): List<UpstreamDescription>

    /** Notes the load carried on a reply of [instance]. */
    fun onLoad(instance: InstanceId, load: UpstreamLoad)

    /** Notes that [instance] refused work. */
    fun onRefused(instance: InstanceId, reason: RefusalReason)

    /** Notes that [instance] could not be reached or stopped answering. */
    fun onLost(instance: InstanceId)
}
