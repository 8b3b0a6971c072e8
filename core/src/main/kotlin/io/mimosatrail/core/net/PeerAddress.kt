package io.mimosatrail.core.net

import kotlinx.serialization.Serializable

/** IP address and port at which a process of the system listens for its peers. */
@Serializable
data class PeerAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
