package io.mimosatrail.gateway

import io.mimosatrail.core.front.FrontConfiguration
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.store.StoreCall
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.store.StoredValue
import io.mimosatrail.gateway.net.ControlCalls
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.HeaderCodec

/**
 * What a deployment provides to a gateway: its store, where configuration and upstreams are registered there, and how
 * its messages are read. A decoder answers null for what it cannot read and logs why.
 */
class GatewayPorts(
    val store: StoreCall,
    val configurationKey: StoreKey,
    val decodeConfiguration: (ByteArray) -> FrontConfiguration?,
    val upstreamPrefix: StoreKey,
    val decodeUpstream: (StoredValue) -> UpstreamRecord?,
    val headers: HeaderCodec,
    val engines: EngineControl,
)

/** Makes the ports of a deployment over the gateway's HTTP client. */
typealias PortsFactory = (ControlCalls) -> GatewayPorts
