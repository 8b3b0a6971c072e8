package io.mimosatrail.core.net

import kotlinx.serialization.Serializable

/** IP address and port at which a process of the system listens for its peers. */
@Serializable
data class PeerAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Reads `host:port` as [PeerAddress.toString] writes it, or answers null where the text is none. */
fun String.toPeerAddressOrNull(): PeerAddress? {
    val host = substringBeforeLast(':', "")
    val port = substringAfterLast(':').toIntOrNull()
    return if (host.isNotEmpty() && port != null && port in PORTS) PeerAddress(host, port) else null
}

/** Port 0 is an address to listen on: the system chooses one. */
private val PORTS = 0..65_535
