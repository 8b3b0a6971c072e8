package io.mimosatrail.core.net

import kotlinx.serialization.Serializable

/** IP address and port on which a process listens for connections from its peers. */
@Serializable
data class PeerAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Parses `host:port` as formatted by [PeerAddress.toString]; null if the text is not an address. */
fun String.toPeerAddressOrNull(): PeerAddress? {
    val host = substringBeforeLast(':', "")
    val port = substringAfterLast(':').toIntOrNull()
    return if (host.isNotEmpty() && port != null && port in PORTS) PeerAddress(host, port) else null
}

/** Includes port 0: a process that listens on it gets a free port from the operating system. */
private val PORTS = 0..65_535
