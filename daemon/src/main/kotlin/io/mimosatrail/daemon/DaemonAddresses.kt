package io.mimosatrail.daemon

import io.mimosatrail.core.net.PeerAddress

/** Addresses on which a started daemon listens. [http] serves callers and is null for a sidecar. */
data class DaemonAddresses(val peer: PeerAddress, val admin: PeerAddress, val http: PeerAddress?)
