package io.mimosatrail.daemon

import io.mimosatrail.core.net.PeerAddress

/** Where a started daemon listens; [http] is null for a sidecar. */
data class DaemonAddresses(val peer: PeerAddress, val admin: PeerAddress, val http: PeerAddress?)
