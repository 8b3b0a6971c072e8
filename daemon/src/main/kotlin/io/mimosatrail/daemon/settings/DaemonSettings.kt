package io.mimosatrail.daemon.settings

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.membership.InstanceRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checked settings of one daemon; ports of 0 are chosen by the system. */
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

/** The upstream beside a sidecar, at base URL [url]. */
data class UpstreamSettings(val service: ServiceId, val kind: UpstreamKind, val url: String)

/** What kind of upstream a sidecar stands beside. */
enum class UpstreamKind { ENGINE, PLAIN }

/** Bounds of the callers' interface: [maxBodyBytes] of one request, [maxRequests] at once. */
data class FrontLimits(val maxBodyBytes: Int = 1_048_576, val maxRequests: Int = 1_000)
