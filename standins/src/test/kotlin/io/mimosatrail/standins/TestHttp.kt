package io.mimosatrail.standins

import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.util.Base64

private val client = JavaHttpClient()

private val noAnswer = Status(599, "no answer")

/** Makes a call; a connection closed without answer reads as status 599. */
internal fun http(method: Method, url: String, body: String = ""): Response = try {
    client(Request(method, url).body(body))
} catch (e: IOException) {
    Response(noAnswer).body(e.message.orEmpty())
}

internal fun String.base64(): String = Base64.getEncoder().encodeToString(encodeToByteArray())

/** Starts the stand-in, runs [block] and stops it. */
internal fun <S : Standin> S.running(block: (S) -> Unit) {
    try {
        block(this)
    } finally {
        stop()
    }
}
