package io.mimosatrail.store.client

import io.mimosatrail.core.store.StoreCommand
import kotlinx.serialization.encodeToString
import java.net.URLEncoder
import java.util.Base64

/** A store command as an HTTP request. */
internal class StoreRequest(val method: String, val path: String, val body: ByteArray? = null)

internal fun StoreCommand.toRequest(): StoreRequest = when (this) {
    is StoreCommand.Get -> StoreRequest("GET", "/v1/kv?key=${key.value.encoded()}")
    is StoreCommand.List -> StoreRequest("GET", listPath())
    is StoreCommand.Put -> StoreRequest("PUT", "/v1/kv?key=${key.value.encoded()}", body())
    is StoreCommand.Delete -> StoreRequest("DELETE", deletePath())
    is StoreCommand.Watch -> StoreRequest("GET", watchPath())
    is StoreCommand.Grant -> StoreRequest("POST", "/v1/leases", grantBody())
    is StoreCommand.Renew -> StoreRequest("POST", "/v1/leases/$lease")
    is StoreCommand.Revoke -> StoreRequest("DELETE", "/v1/leases/$lease")
}

private fun StoreCommand.List.listPath() =
    "/v1/kv?prefix=${prefix.value.encoded()}&limit=$limit" + after?.let { "&after=${it.value.encoded()}" }.orEmpty()

private fun StoreCommand.Delete.deletePath() =
    "/v1/kv?key=${key.value.encoded()}" + expected?.let { "&expected=$it" }.orEmpty()

private fun StoreCommand.Watch.watchPath() =
    "/v1/watch?prefix=${prefix.value.encoded()}&after=$after&wait=${wait.inWholeMilliseconds}"

private fun StoreCommand.Put.body() =
    storeJson.encodeToString(PutJson(Base64.getEncoder().encodeToString(value), expected?.value, lease?.value))
        .encodeToByteArray()

private fun StoreCommand.Grant.grantBody() =
    storeJson.encodeToString(GrantJson(ttl.inWholeMilliseconds)).encodeToByteArray()

private fun String.encoded() = URLEncoder.encode(this, Charsets.UTF_8)
