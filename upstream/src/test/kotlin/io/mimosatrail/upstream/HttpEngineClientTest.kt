package io.mimosatrail.upstream

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.http4k.client.AsyncHttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.reflect.KClass

/** Answers every request with [response] and records the last request. */
private class FixedAnswer(private val response: Response) : AsyncHttpHandler {
    var last: Request? = null

    override fun invoke(request: Request, fn: (Response) -> Unit) {
        last = request
        fn(response)
    }

    override fun close() = Unit
}

private fun client(status: Status, body: String) =
    HttpEngineClient("http://engine", FixedAnswer(Response(status).body(body)))

private data class Failed(val name: String, val status: Status, val body: String, val error: KClass<out UpstreamError>)

private val item = RunItem("heater-1", 0, 2, tokens = listOf(1, 2))

class HttpEngineClientTest :
    FunSpec({
        context("a failed run is mapped to the error that says whether the work ran") {
            val refusal = """{"error": "busy", "detail": "no room"}"""
            withData(
                nameFn = { it.name },
                Failed("engine is busy", Status.SERVICE_UNAVAILABLE, refusal, UpstreamError.NotRun::class),
                Failed("engine limits requests", Status.TOO_MANY_REQUESTS, refusal, UpstreamError.NotRun::class),
                Failed("connection broke", Status.SERVICE_UNAVAILABLE, "", UpstreamError.Uncertain::class),
                Failed("engine failed", Status.INTERNAL_SERVER_ERROR, refusal, UpstreamError.Uncertain::class),
                Failed("conflict", Status.CONFLICT, refusal, UpstreamError.Conflict::class),
                Failed("not JSON", Status.OK, "<html>", UpstreamError.Uncertain::class),
                Failed("truncated", Status.OK, """{"results": [""", UpstreamError.Uncertain::class),
                Failed("too few results", Status.OK, """{"results": []}""", UpstreamError.Uncertain::class),
                Failed(
                    "result of another sequence",
                    Status.OK,
                    """{"results": [{"sequence": "x", "token": 1}]}""",
                    UpstreamError.Uncertain::class,
                ),
            ) { case ->
                client(case.status, case.body).run(listOf(item)).getError()?.let { it::class } shouldBe case.error
            }
        }

        test("activations and errors of results are decoded") {
            val body = """{"results": [{"sequence": "heater-1", "activations": "AQI="}]}"""
            val result = client(Status.OK, body).run(listOf(item)).get()?.single()
            result?.activations?.toList() shouldBe listOf<Byte>(1, 2)
            val refused = """{"results": [{"sequence": "heater-1", "error": "position-mismatch", "held": 7}]}"""
            client(Status.OK, refused).run(listOf(item)).get()?.single()?.error shouldBe
                RunError("position-mismatch", 7)
        }

        test("a sequence name is escaped in the URL path") {
            val http = FixedAnswer(Response(Status.NO_CONTENT))
            HttpEngineClient("http://engine", http).free("a/../../v1/orders").get()
            http.last?.uri?.path shouldBe "/v1/sequences/a%2F..%2F..%2Fv1%2Forders"
        }
    })
