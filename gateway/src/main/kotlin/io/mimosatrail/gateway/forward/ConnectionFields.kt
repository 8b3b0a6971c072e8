package io.mimosatrail.gateway.forward

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Header fields that concern one connection only (RFC 9110, section 7.6.1), and the framing of the body. */
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

/** True for a field that is not passed on. */
internal fun isConnectionField(name: String): Boolean = name.lowercase() in connectionFields

/** Names of the fields that the sender declares to concern its connection only, in lower case. */
internal fun HttpHeaders.declaredConnectionFields(): Set<String> =
    getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
