package io.mimosatrail.standins

import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.util.Base64

private val client = JavaHttpClient()

private val noResponse = Status(599, "no response")

/** Sends a request. A connection closed without a response is returned as status 599. */
internal fun http(method: Method, url: String, body: String = ""): Response = try {
    client(Request(method, url).body(body))
} catch (e: IOException) {
    Response(noResponse).body(e.message.orEmpty())
}

internal fun String.base64(): String = Base64.getEncoder().encodeToString(encodeToByteArray())

/** Runs [block] and then stops the stand-in, which must be started already. */
internal fun <S : Standin> S.running(block: (S) -> Unit) {
    try {
        block(this)
    } finally {
        stop()
    }
}
