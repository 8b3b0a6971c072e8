package io.mimosatrail.daemon.settings

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Validated settings of one daemon.
 *
 * For a port of 0, the operating system chooses a free one. [upstream] is null for an entry. [drainNotice] is the time
 * between not ready and refusing new work at a planned stop.
 */
data class DaemonSettings(
    val role: InstanceRole,
    val instance: InstanceId,
    val place: PlaceId,
    val store: String,
    val instances: String,
    val peerSecrets: List<String>,
    val host: String = "127.0.0.1",
    val peerPort: Int = 0,
    val httpPort: Int = 0,
    val adminHost: String = "127.0.0.1",
    val adminPort: Int = 0,
    val upstream: UpstreamSettings? = null,
    val limits: FrontLimits = FrontLimits(),
    val drainNotice: Duration = 5.seconds,
    val cutOnSecondSignal: Boolean = false,
) {
    override fun toString(): String = "${role.name.lowercase()} $instance in $place"
}

/** The upstream of a sidecar. [url] is its base URL. */
data class UpstreamSettings(val service: ServiceId, val kind: UpstreamKind, val url: String)

/** Kind of a sidecar's upstream: a model engine or a plain service. */
enum class UpstreamKind { ENGINE, PLAIN }

/** Limits for requests of callers: [maxBodyBytes] of one request body, [maxRequests] served at once. */
data class FrontLimits(val maxBodyBytes: Int = 1_048_576, val maxRequests: Int = 1_000)
