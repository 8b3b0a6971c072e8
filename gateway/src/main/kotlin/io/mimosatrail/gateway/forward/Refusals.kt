package io.mimosatrail.gateway.forward

import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.outcome.Step
import io.mimosatrail.core.quarantine.AnswerResult
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass

private const val MILLIS_PER_SECOND = 1_000.0

/** Statuses by which callers conclude that a request has not run and never will. */
internal val STATUSES_OF_NOT_RUN = setOf(
    HttpResponseStatus.REQUEST_TIMEOUT,
    HttpResponseStatus.MISDIRECTED_REQUEST,
    HttpResponseStatus.TOO_MANY_REQUESTS,
    HttpResponseStatus.SERVICE_UNAVAILABLE,
)

/** HTTP status of [refusal]. 503 means that the request has certainly not run. */
internal fun statusOf(refusal: Refusal): HttpResponseStatus = when {
    refusal.reason == RefusalReason.MALFORMED -> HttpResponseStatus.BAD_REQUEST
    refusal.reason == RefusalReason.UNAUTHENTICATED -> HttpResponseStatus.UNAUTHORIZED
    refusal.reason == RefusalReason.NOT_FOUND -> HttpResponseStatus.NOT_FOUND
    refusal.outcome == Outcome.NOT_RUN -> HttpResponseStatus.SERVICE_UNAVAILABLE
    refusal.reason == RefusalReason.DEADLINE -> HttpResponseStatus.GATEWAY_TIMEOUT
    else -> HttpResponseStatus.BAD_GATEWAY
}

/** What an answer with [status] shows of the request. */
internal fun answerResult(status: Int): AnswerResult = when (HttpStatusClass.valueOf(status)) {
    HttpStatusClass.SUCCESS -> AnswerResult.SUCCESS
    HttpStatusClass.SERVER_ERROR -> AnswerResult.FAILED
    else -> AnswerResult.REJECTED
}

/** Handling the request failed inside this process for a reason that was not foreseen; it may have run. */
internal fun faultRefusal(): Refusal =
    Refusal(Outcome.UNKNOWN, RefusalReason.INVARIANT, Step.ROUTE, null, "the request failed at this entry")

/** Response headers for [refusal]. `Retry-After` is in seconds, with a fraction; absent if a retry cannot help. */
internal fun headersOf(refusal: Refusal): HttpHeaders {
    val headers = DefaultHttpHeaders(false)
    headers[HttpHeaderNames.CONTENT_TYPE] = "text/plain; charset=utf-8"
    refusal.retryAfterMillis?.let { headers[HttpHeaderNames.RETRY_AFTER] = (it / MILLIS_PER_SECOND).toString() }
    return headers
}

/** Response body for [refusal], readable by humans: the step, the peer if known, and the detail. */
internal fun bodyOf(refusal: Refusal): ByteBuf {
    val peer = refusal.peer?.let { " at $it" }.orEmpty()
    return Unpooled.wrappedBuffer("${refusal.step.name.lowercase()}$peer: ${refusal.detail}\n".toByteArray())
}
