package io.mimosatrail.upstream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.http4k.client.AsyncHttpHandler
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Calls the model engine at [baseUrl] over HTTP. A call without a response after [timeout] fails as uncertain. */
class HttpEngineClient(
    private val baseUrl: String,
    private val http: AsyncHttpHandler = sharedHttp,
    private val timeout: Duration = 60.seconds,
) : EngineClient {
    override suspend fun state(): Result<EngineState, UpstreamError> =
        call(Request(Method.GET, "$baseUrl/v1/engine")).decode(EngineState.serializer())

    override suspend fun run(items: List<RunItem>): Result<List<RunResult>, UpstreamError> {
        val body = json.encodeToString(RunRequestBody.serializer(), RunRequestBody(items.map { it.toBody() }))
        return call(Request(Method.POST, "$baseUrl/v1/run").json(body))
            .decode(RunResponseBody.serializer()) { response -> response.results.map { it.toResult() } }
            .andThen { checkOrder(items, it) }
    }

    override suspend fun free(sequence: String): Result<Unit, UpstreamError> =
        call(Request(Method.DELETE, sequenceUrl(sequence))).map { }

    override suspend fun exportKv(sequence: String): Result<KvState, UpstreamError> =
        call(Request(Method.GET, sequenceUrl(sequence) + "/kv"))
            .decode(KvBody.serializer()) { KvState(it.positions, it.state.fromBase64()) }

    override suspend fun importKv(sequence: String, state: KvState): Result<Unit, UpstreamError> {
        val body = json.encodeToString(KvBody.serializer(), KvBody(state.positions, state.state.toBase64()))
        return call(Request(Method.PUT, sequenceUrl(sequence) + "/kv").json(body)).map { }
    }

    override suspend fun order(order: EngineOrder): Result<EngineState, UpstreamError> {
        val body = json.encodeToString(EngineOrder.serializer(), order)
        return call(Request(Method.POST, "$baseUrl/v1/orders").json(body)).decode(EngineState.serializer())
    }

    private fun sequenceUrl(sequence: String) = "$baseUrl/v1/sequences/" + URLEncoder.encode(sequence, Charsets.UTF_8)

    private fun Request.json(body: String) = header("Content-Type", "application/json").body(body)

    private suspend fun call(request: Request): Result<Response, UpstreamError> {
        val answer = CompletableDeferred<Response>()
        http(request) { answer.complete(it) }
        val response = withTimeoutOrNull(timeout) { answer.await() }
            ?: return Err(UpstreamError.Uncertain("no answer within $timeout"))
        return checkStatus(response)
    }

    /**
     * Maps an error status to an [UpstreamError]. Only an error with a body comes from the engine; the HTTP client
     * creates error responses without a body when a connection breaks.
     */
    private fun checkStatus(response: Response): Result<Response, UpstreamError> {
        val status = response.status
        val detail = "${status.code} ${status.description}"
        return when {
            status.successful -> Ok(response)
            response.bodyString().isBlank() -> Err(UpstreamError.Uncertain(detail))
            status == Status.CONFLICT -> Err(UpstreamError.Conflict(detail))
            status.clientError || status == Status.SERVICE_UNAVAILABLE -> Err(UpstreamError.NotRun(detail, status.code))
            else -> Err(UpstreamError.Uncertain(detail))
        }
    }

    private fun <T> Result<Response, UpstreamError>.decode(serializer: KSerializer<T>) = decode(serializer) { it }

    private fun <T, R> Result<Response, UpstreamError>.decode(
        serializer: KSerializer<T>,
        transform: (T) -> R,
    ): Result<R, UpstreamError> = andThen { response ->
        try {
            Ok(transform(json.decodeFromString(serializer, response.bodyString())))
        } catch (e: IllegalArgumentException) {
            Err(UpstreamError.Uncertain("the answer is not valid: ${e.message}"))
        }
    }

    private fun checkOrder(items: List<RunItem>, results: List<RunResult>): Result<List<RunResult>, UpstreamError> {
        if (items.map { it.sequence } == results.map { it.sequence }) return Ok(results)
        return Err(UpstreamError.Uncertain("the results do not match the items"))
    }

    private companion object {
        val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
        val sharedHttp: AsyncHttpHandler by lazy { JettyClient() }
    }
}
