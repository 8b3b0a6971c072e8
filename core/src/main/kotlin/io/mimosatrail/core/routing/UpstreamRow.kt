package io.mimosatrail.core.routing

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceState
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.time.Moment

/** What one entry knows of one upstream. All of it is a hint; the sidecar decides. */
class UpstreamRow internal constructor(entry: InstanceEntry, now: Moment) {
    val id: InstanceId = entry.id

    /** Last row of the instance list. */
    var entry: InstanceEntry = entry
        internal set

    /** What the sidecar said last, with the newest load; null until it has answered once. */
    var description: UpstreamDescription? = null
        internal set

    internal var describeDue: Moment = now
    internal var asking = false
    internal var draining = false
    internal val health = UpstreamHealth()
    internal val sent = SentCounter()

    /** When the upstream began to take work, anew after each ejection; null until described. */
    internal var servingSince: Moment? = null

    /** True where nothing known forbids new work, ejection aside. */
    internal val isServing: Boolean
        get() = description != null && !draining && entry.state == InstanceState.LIVE && !isLoading

    private val isLoading: Boolean get() = description?.engine?.let { it.role != SERVING_ROLE } ?: false

    private companion object {
        const val SERVING_ROLE = "serve"
    }
}
