package io.mimosatrail.core.net

import kotlinx.serialization.Serializable

/** IP address and port on which a process listens for connections from its peers. */
@Serializable
data class PeerAddress(val host: String, val port: Int) {
    /** True if [host] is an IPv4 address in dotted decimal form; other hosts have to be resolved. */
    val isIpv4: Boolean get() = host.matches(IPV4)

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

private val IPV4 = Regex("""(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}""")
