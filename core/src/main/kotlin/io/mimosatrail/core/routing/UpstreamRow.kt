package io.mimosatrail.core.routing

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.time.Moment

/** What one entry knows about one upstream. It may be outdated: the upstream's sidecar decides on each request. */
class UpstreamRow internal constructor(entry: InstanceEntry, now: Moment) {
    val id: InstanceId = entry.id

    /** The upstream's entry in the last instance list. */
    var entry: InstanceEntry = entry
        internal set

    /** Last description by the sidecar, with the latest reported load; null until the sidecar has answered once. */
    var description: UpstreamDescription? = null
        internal set

    /** When to ask the sidecar for its next description. */
    internal var describeDueAt: Moment = now
    internal var isDescribePending = false
    internal var draining = false
    internal val health = UpstreamHealth()

    /** Requests sent since the last load report. The count decays, since a report may never arrive. */
    internal val sentSinceReport = DecayingCounter()

    /** Start of the warm-up: the first description or the end of the last ejection; null before either. */
    internal var servingSince: Moment? = null

    /** True if the upstream may get new requests, apart from an ejection. */
    internal val isServing: Boolean
        get() = description != null && !draining && entry.state == InstanceState.LIVE && !isLoading

    private val isLoading: Boolean get() = description?.engine?.let { it.role != SERVING_ROLE } ?: false

    private companion object {
        const val SERVING_ROLE = "serve"
    }
}
