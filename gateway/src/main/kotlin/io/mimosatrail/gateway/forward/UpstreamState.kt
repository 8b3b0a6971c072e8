package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.quarantine.ContentQuarantine
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.gateway.gossip.UpstreamObservations

/**
 * State of the upstreams as this entry knows it: the [registry], its own [traffic], the loads that other entries
 * reported, the observations that entries share ahead of the registry, the [quarantine] of content under which
 * upstreams crash, and the [access] to upstreams that ask to be spared.
 */
internal class UpstreamState(
    val registry: UpstreamRegistry,
    val traffic: UpstreamTraffic,
    val peerLoads: PeerLoads,
    val observations: UpstreamObservations,
    val quarantine: ContentQuarantine,
    val access: UpstreamAccess,
)
