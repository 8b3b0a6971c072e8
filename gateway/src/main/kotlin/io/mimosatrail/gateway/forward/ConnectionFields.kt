package io.mimosatrail.gateway.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Header fields that apply to one connection only (RFC 9110, section 7.6.1) or to the framing of the body. */
private val connectionFields = setOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)

/** True if a proxy must not forward the header field [name]. */
internal fun isConnectionField(name: String): Boolean = name.lowercase() in connectionFields

/** Names of the fields that the `Connection` header declares as applying to the connection only, in lower case. */
internal fun HttpHeaders.declaredConnectionFields(): Set<String> =
    getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
