package io.mimosatrail.gateway.forward

import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.gateway.net.ConnectionKey
import io.mimosatrail.gateway.net.ConnectionPool
import io.mimosatrail.gateway.net.Lease
import io.mimosatrail.gateway.wire.EngineControl
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.resume
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out whether an upstream is up. An engine answers a question about its state at once. A plain service, whose
 * answers may wait for other requests, accepts a connection.
 */
internal class UpstreamProbe(private val engines: EngineControl, private val pool: ConnectionPool) {
    suspend fun isUp(upstream: UpstreamRecord): Boolean =
        if (upstream.kind != null) engines.isResponsive(upstream, TIMEOUT) else isAccepting(upstream)

    /** Tries again if there is neither a connection nor a refusal, since the first packet may have been lost. */
    private suspend fun isAccepting(upstream: UpstreamRecord): Boolean {
        repeat(MAX_CONNECTS) {
            val isAccepting = withTimeoutOrNull(TIMEOUT) { connect(upstream) }
            if (isAccepting != null) return isAccepting
        }
        return false
    }

    /** Opens a connection and leaves it to later requests. */
    private suspend fun connect(upstream: UpstreamRecord): Boolean = suspendCancellableCoroutine { continuation ->
        pool.lease(ConnectionKey(upstream.address, upstream.id), Int.MAX_VALUE, isSuitable = { false }) { lease ->
            if (lease is Lease.Ready) pool.release(lease.connection)
            if (continuation.isActive) continuation.resume(lease is Lease.Ready)
        }
    }

    private companion object {
        val TIMEOUT = 100.milliseconds
        const val MAX_CONNECTS = 2
    }
}
