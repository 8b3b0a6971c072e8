package io.mimosatrail.daemon.role

import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.daemon.host.Drainable

/** What a daemon does besides following configuration and membership. */
internal interface Role : Drainable {
    /** Port of the callers' interface; null without one. */
    val httpPort: Int?

    /** Requests of callers or peers in flight. */
    val requestsInFlight: Int

    /** Starts all parts of the role. */
    suspend fun start()

    /** Upstreams that this process knows. */
    suspend fun upstreams(): List<UpstreamDescription>

    /** Releases what [start] took, without waiting for requests. */
    fun close()
}
