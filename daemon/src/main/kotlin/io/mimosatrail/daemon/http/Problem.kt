package io.mimosatrail.daemon.http

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.http4k.core.Response
import org.http4k.core.Status

private const val MILLIS_PER_SECOND = 1_000L

/** RFC 9457 problem document of a refusal; [retryAfter] is in seconds. */
@Serializable
data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: Outcome,
    val step: Step,
    val peer: String?,
    val request: String,
    @SerialName("retry-after") val retryAfter: Long? = null,
)

/** The problem document for this refusal. */
fun Refusal.toProblem(request: RequestId): Problem {
    val name = reason.name.lowercase().replace('_', '-')
    return Problem(
        type = "urn:mimosatrail:refusal:$name",
        title = name.replace('-', ' '),
        status = status().code,
        detail = detail,
        outcome = outcome,
        step = step,
        peer = peer?.value,
        request = request.value,
        retryAfter = retryAfterSeconds(),
    )
}

/** The HTTP response with the problem document. */
fun Refusal.toResponse(request: RequestId): Response {
    val response = Response(status())
        .header("Content-Type", "application/problem+json")
        .header(REQUEST_ID_HEADER, request.value)
        .body(httpJson.encodeToString(Problem.serializer(), toProblem(request)))
    val challenge = "Bearer".takeIf { reason == RefusalReason.UNAUTHENTICATED }
    return response
        .headerIfNotNull("WWW-Authenticate", challenge)
        .headerIfNotNull("Retry-After", retryAfterSeconds()?.toString())
}

private fun Response.headerIfNotNull(name: String, value: String?) = if (value == null) this else header(name, value)

private fun Refusal.retryAfterSeconds() = retryAfterMillis?.let { (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND }

private fun Refusal.status(): Status = when (reason) {
    RefusalReason.MALFORMED -> Status.BAD_REQUEST
    RefusalReason.UNAUTHENTICATED -> Status.UNAUTHORIZED
    RefusalReason.NOT_FOUND -> Status.NOT_FOUND
    RefusalReason.TOO_LARGE -> Status.REQUEST_ENTITY_TOO_LARGE
    RefusalReason.CONFLICT -> Status.CONFLICT
    RefusalReason.OVER_LIMIT -> Status.TOO_MANY_REQUESTS
    RefusalReason.DEADLINE -> Status.GATEWAY_TIMEOUT
    RefusalReason.PEER_LOST, RefusalReason.UPSTREAM_ERROR -> Status.BAD_GATEWAY
    RefusalReason.INVARIANT -> Status.INTERNAL_SERVER_ERROR
    RefusalReason.BUSY,
    RefusalReason.DRAINING,
    RefusalReason.STALE,
    RefusalReason.NO_UPSTREAM,
    RefusalReason.STORE_UNAVAILABLE,
    RefusalReason.NOT_READY,
    RefusalReason.QUARANTINED,
    -> if (outcome == Outcome.NOT_RUN) Status.SERVICE_UNAVAILABLE else Status.BAD_GATEWAY
}
