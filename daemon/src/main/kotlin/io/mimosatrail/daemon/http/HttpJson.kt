package io.mimosatrail.daemon.http

import kotlinx.serialization.json.Json

/** Response header that names the request. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** JSON of the HTTP interfaces. */
internal val httpJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}
