package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.PeerLoads
import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.gateway.gossip.UpstreamObservations

/** What this entry knows of upstreams: who they are, its own traffic with them, and what other entries told. */
internal class Upstreams(
    val registry: UpstreamRegistry,
    val traffic: UpstreamTraffic,
    val peerLoads: PeerLoads,
    val words: UpstreamObservations,
)
