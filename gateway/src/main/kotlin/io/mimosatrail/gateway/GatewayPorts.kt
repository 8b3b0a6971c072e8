package io.mimosatrail.gateway

import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoreTimelines
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.gateway.net.ControlClient
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.HeaderCodec

/**
 * The interfaces through which a gateway uses the platform it is deployed on: the [store] and its [timelines], the keys
 * of the configuration and of the registered upstreams in it, and the formats of values, headers and engine control. A
 * decoder returns null for a value that it cannot decode.
 */
class GatewayPorts(
    val store: StoreCall,
    val timelines: StoreTimelines,
    val configurationKey: StoreKey,
    val decodeConfiguration: (ByteArray) -> FrontConfiguration?,
    val upstreamPrefix: StoreKey,
    val decodeUpstream: (StoredValue) -> UpstreamRecord?,
    val headers: HeaderCodec,
    val engines: EngineControl,
)

/** Creates the ports of a platform, which send their calls with the gateway's HTTP client. */
typealias PortsFactory = (ControlClient) -> GatewayPorts
