package io.mimosatrail.daemon.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.getOrElse
import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.config.RoutingRule
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.daemon.entry.call.CallRouter
import io.mimosatrail.daemon.entry.call.ServiceCall
import io.mimosatrail.daemon.host.Host
import io.mimosatrail.daemon.http.REQUEST_ID_HEADER
import io.mimosatrail.daemon.http.notRun
import io.mimosatrail.daemon.http.readBody
import io.mimosatrail.daemon.http.toResponse
import io.mimosatrail.protocol.CallAnswer
import io.mimosatrail.protocol.CallHeader
import kotlinx.coroutines.runBlocking
import org.http4k.core.MemoryBody
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.path
import java.util.UUID
import kotlin.time.Duration.Companion.seconds

/** Request header with the key under which a caller repeats a non-idempotent call. */
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

/** Response header: `true` if the answer is the recorded one of an earlier run with the same key. */
internal const val IDEMPOTENCY_REPLAYED_HEADER = "Idempotency-Replayed"

private val defaultTimeout = 30.seconds
private val keyPattern = Regex("[\\x21-\\x7e]{1,128}")

/** Headers that concern only one connection or the entry itself; not forwarded in either direction. */
private val notForwardedHeaders =
    setOf("authorization", "connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade")
        .plus(listOf(IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER, REQUEST_ID_HEADER).map { it.lowercase() })

/** The interface of plain services: forwards calls with their method, path, headers and body. */
internal class ServiceFront(
    private val host: Host,
    private val gate: EntryGate,
    private val route: CallRouter,
    private val meters: FrontMeters,
    private val maxBodyBytes: Int,
) {
    fun handle(id: RequestId, request: Request): Response {
        val call = accept(id, request).getOrElse {
            meters.onRefused(null, it)
            return it.toResponse(id)
        }
        val answer = runBlocking { route(call) }.getOrElse {
            meters.onRefused(call.service.id, it)
            return withIdempotencyKey(it.toResponse(id), call)
        }
        meters.onAnswered(call.service.id)
        return withIdempotencyKey(answer.toResponse(id), call)
    }

    private fun accept(id: RequestId, request: Request): Result<ServiceCall, Refusal> = binding {
        val workspace = gate.authenticate(request).bind()
        val target = findTarget(workspace, request).bind()
        val body = request.readBody(maxBodyBytes).bind()
        val timeout = request.timeout(defaultTimeout).bind()
        val path = pathOf(request)
        val method = request.method.name
        val callerKey = idempotencyKeyOf(request).bind()
        gate.admit(workspace, 0).bind()
        val isIdempotent = target.service.idempotentCalls.any { it.matches(method, path) }
        ServiceCall(
            id = id,
            workspace = workspace.id,
            service = target.service,
            key = if (isIdempotent) null else callerKey ?: IdempotencyKey(UUID.randomUUID().toString()),
            isKeyGenerated = !isIdempotent && callerKey == null,
            method = method,
            path = path,
            headers = forwardedHeaders(request),
            body = body,
            priority = target.rule.priority,
            deadline = host.clock() + timeout,
        )
    }

    private fun findTarget(workspace: Workspace, request: Request): Result<Target, Refusal> {
        val id = ServiceId(request.path("service").orEmpty())
        val configuration = host.configuration()
        val rule = configuration.ruleFor(workspace.id, id)
            ?: return Err(notRun(RefusalReason.NOT_FOUND, Step.ROUTE, "no rule for service $id"))
        val service = configuration.services[id] as? PlainService
            ?: return Err(notRun(RefusalReason.NOT_FOUND, Step.ROUTE, "$id is not a plain service"))
        return Ok(Target(rule, service))
    }

    private fun idempotencyKeyOf(request: Request): Result<IdempotencyKey?, Refusal> {
        val values = request.headerValues(IDEMPOTENCY_KEY_HEADER).filterNotNull()
        return when {
            values.isEmpty() -> Ok(null)
            values.size > 1 -> Err(malformedKey("$IDEMPOTENCY_KEY_HEADER is given ${values.size} times"))
            !keyPattern.matches(values.single()) ->
                Err(malformedKey("$IDEMPOTENCY_KEY_HEADER must be 1 to 128 visible ASCII characters"))

            else -> Ok(IdempotencyKey(values.single()))
        }
    }

    /** The path below the service, with the query string. */
    private fun pathOf(request: Request): String {
        val query = request.uri.query
        return "/" + request.path("path").orEmpty() + if (query.isEmpty()) "" else "?$query"
    }

    private fun forwardedHeaders(request: Request): List<CallHeader> = request.headers
        .filter { it.first.lowercase() !in notForwardedHeaders }
        .map { CallHeader(it.first, it.second.orEmpty()) }

    private fun withIdempotencyKey(response: Response, call: ServiceCall): Response =
        call.key?.let { response.replaceHeader(IDEMPOTENCY_KEY_HEADER, it.value) } ?: response

    private fun malformedKey(detail: String) = notRun(RefusalReason.MALFORMED, Step.PARSE, detail)

    private class Target(val rule: RoutingRule, val service: PlainService)
}

private fun CallAnswer.toResponse(id: RequestId): Response {
    val forwarded = headers.filter { it.name.lowercase() !in notForwardedHeaders }
    val response = forwarded.fold(Response(Status(status, null))) { built, header ->
        built.header(header.name, header.value)
    }
    return response.body(MemoryBody(body))
        .replaceHeader(REQUEST_ID_HEADER, id.value)
        .replaceHeader(IDEMPOTENCY_REPLAYED_HEADER, replayed.toString())
}
