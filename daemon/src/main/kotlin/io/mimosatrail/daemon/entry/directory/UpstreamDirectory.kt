package io.mimosatrail.daemon.entry.directory

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.RefusalReason

/** The upstreams known to an entry. May be outdated; replies and refusals of the sidecars correct it. */
interface UpstreamDirectory {
    /** Upstreams of [service] that may get new requests. */
    fun upstreamsOf(service: ServiceId): List<UpstreamDescription>

    /** Records the load that [instance] reported with a reply. */
    fun onLoad(instance: InstanceId, load: UpstreamLoad)

    /** Records that [instance] refused a request. */
    fun onRefused(instance: InstanceId, reason: RefusalReason)

    /** Records that [instance] was unreachable or stopped answering. */
    fun onLost(instance: InstanceId)
}
