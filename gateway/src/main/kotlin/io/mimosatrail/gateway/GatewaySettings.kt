package io.mimosatrail.gateway

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.placement.PlacementSettings
import kotlin.time.Duration

/**
 * Settings of one gateway entry.
 *
 * It listens for callers on [front], and for readiness checks and metrics on [ready]. All entries together may send a
 * service [retryRatio] of its requests and [retrySlack] more again in a window. A planned stop takes at most [grace].
 */
data class GatewaySettings(
    val instance: InstanceId,
    val place: PlaceId,
    val front: PeerAddress,
    val ready: PeerAddress,
    val retryRatio: Double,
    val retrySlack: Double,
    val grace: Duration,
    val placement: PlacementSettings = PlacementSettings(),
)
