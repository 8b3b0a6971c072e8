package io.mimosatrail.bench.fleet

import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import kotlin.time.Duration

/** HTTP client of an application that calls entries with the bearer [key] of its workspace. */
class Caller(private val key: String) : AutoCloseable {
    private val http = JettyClient(bodyMode = BodyMode.Stream)
    private val send: HttpHandler = http

    /** Requests a streamed completion and reads it to its end; [onText] is called with each piece of text. */
    fun stream(
        entry: FleetInstance,
        prompt: String,
        maxTokens: Int,
        model: String,
        onText: (String) -> Unit = {},
    ): StreamedAnswer = stream(entry.url, prompt, maxTokens, model, onText)

    /** Requests a streamed completion from the entry at base URL [entry]. */
    fun stream(entry: String, prompt: String, maxTokens: Int, model: String, onText: (String) -> Unit): StreamedAnswer {
        val body = """{"model":"$model","prompt":"$prompt","max_tokens":$maxTokens,"stream":true}"""
        val response = send(request(Method.POST, entry + "/v1/completions").body(body))
        return response.use { readStream(it, onText) }
    }

    /** Calls a plain service. */
    fun call(
        entry: FleetInstance,
        method: Method,
        path: String,
        body: String = "",
        idempotencyKey: String? = null,
    ): Response = call(entry.url, method, path, body, idempotencyKey, null)

    /** Calls a plain service through the entry at base URL [entry]. Without [timeout] the entry chooses one. */
    fun call(
        entry: String,
        method: Method,
        path: String,
        body: String,
        idempotencyKey: String?,
        timeout: Duration?,
    ): Response {
        val request = request(method, entry + path).body(body)
        val timed = timeout?.let { request.header("X-Request-Timeout-Ms", "${it.inWholeMilliseconds}") } ?: request
        return send(idempotencyKey?.let { timed.header("Idempotency-Key", it) } ?: timed)
    }

    override fun close() = http.close()

    private fun request(method: Method, url: String) =
        Request(method, url).header("Authorization", "Bearer $key").header("Content-Type", "application/json")
}
