package io.mimosatrail.daemon.role

import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.daemon.host.Drainable

/** The part of a daemon that depends on its role. Every daemon also follows the configuration and the instance list. */
internal interface Role : Drainable {
    /** Port for callers; null if the role serves none. */
    val httpPort: Int?

    /** Number of requests of callers or peers in flight. */
    val requestsInFlight: Int

    /** Starts all components of the role. */
    suspend fun start()

    /** The upstreams known to this process. */
    suspend fun upstreams(): List<UpstreamDescription>

    /** Releases the resources that [start] acquired, without waiting for requests in flight. */
    fun close()
}
