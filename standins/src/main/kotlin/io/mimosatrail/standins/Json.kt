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

/** Error body of every stand-in. */
@Serializable
internal data class ErrorBody(val error: String, val detail: String)

internal inline fun <reified T> Request.read(): T = json.decodeFromString(bodyString())

internal inline fun <reified T> answer(body: T, status: Status = Status.OK): Response =
    Response(status).header("content-type", "application/json").body(json.encodeToString(body))

internal fun refuse(status: Status, code: String, detail: String): Response = answer(ErrorBody(code, detail), status)
