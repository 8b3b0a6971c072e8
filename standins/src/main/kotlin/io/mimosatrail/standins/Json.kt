package io.mimosatrail.standins

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

@OptIn(ExperimentalSerializationApi::class)
internal val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = true
}

/** Body of each error response of a stand-in: a stable code and a description of the cause. */
@Serializable
internal data class ErrorBody(val error: String, val detail: String)

internal inline fun <reified T> Request.decodeBody(): T = json.decodeFromString(bodyString())

internal inline fun <reified T> jsonResponse(body: T, status: Status = Status.OK): Response =
    Response(status).header("content-type", "application/json").body(json.encodeToString(body))

internal fun errorResponse(status: Status, code: String, detail: String): Response =
    jsonResponse(ErrorBody(code, detail), status)
