package io.mimosatrail.daemon.http

import kotlinx.serialization.json.Json

/** Response header with the id of the request. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** JSON format of the HTTP interfaces. */
internal val httpJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}
