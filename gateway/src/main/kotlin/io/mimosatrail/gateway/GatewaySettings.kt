package io.mimosatrail.gateway

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.placement.PlacementSettings
import kotlin.time.Duration

/**
 * Settings of one gateway entry.
 *
 * It listens for callers on [front], for readiness checks and metrics on [ready], and for other entries on [gossip].
 * In each [retryWindow], all entries together may retry as many requests of a service as [retryRatio] times the number
 * of its requests, plus [retrySlack]. A planned stop takes at most [grace]. An upstream that announces that it is
 * leaving gets no new requests after [drainNotice], and a new configuration is in force within [configurationBound].
 * Upstreams renew their entries in the registry every [heartbeat].
 */
data class GatewaySettings(
    val instance: InstanceId,
    val place: PlaceId,
    val front: PeerAddress,
    val ready: PeerAddress,
    val gossip: PeerAddress,
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindow: Duration,
    val grace: Duration,
    val drainNotice: Duration,
    val configurationBound: Duration,
    val heartbeat: Duration,
    val placement: PlacementSettings = PlacementSettings(),
)
