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
 * All entries together may send a service [retryRatio] of its requests and [retrySlack] more again in [retryWindow]. A
 * planned stop takes at most [grace]. A leaving upstream gets nothing more [drainNotice] after its word, and a
 * configuration is in force within [configurationBound].
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
    val placement: PlacementSettings = PlacementSettings(),
)
