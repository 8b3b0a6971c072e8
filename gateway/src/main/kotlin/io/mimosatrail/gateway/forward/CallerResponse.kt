package io.mimosatrail.gateway.forward

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.gateway.log.logEvent
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The response to one caller: that of one upstream, or a stream that is assembled from the responses of several.
 *
 * A response has one head, and a stream contains nothing but events; calls that break this throw an
 * [IllegalStateException].
 */
internal class CallerResponse(private val call: RoutedCall, private val context: ForwardContext) {
    private enum class Body {
        /** Nothing has been sent. */
        NONE,

        /** The body is that of one upstream. */
        BYTES,

        /** The body consists of events, which several upstreams may send. */
        EVENTS,
    }

    private var body = Body.NONE

    /** Type and encoding of a stream, which those of each response that continues it must match. */
    private var streamFormat: StreamFormat? = null

    /** Status that was sent to the caller; 0 before. */
    var status = 0
        private set

    /** Id of the last event that the caller has, or null if it has none with an id. */
    var lastEventId: Long? = call.fields.lastEventId
        private set

    /** False if the last event that was sent had no id, so that no upstream can be asked for those after it. */
    private var hasLastEventId = true

    /** True if an upstream has sent the beginning of an event after the last one that the caller has. */
    var isEventMissing = false
        private set

    val timing = StreamTiming(call.caller.receivedAt)

    /** True once a response head has been sent to the caller. */
    val hasBegun: Boolean get() = status != 0

    val isWritable: Boolean get() = call.caller.isWritable

    /** True if another upstream may continue this response, which has begun. */
    val mayBeContinued: Boolean get() = call.route.isResumable && body == Body.EVENTS && hasLastEventId

    /** True if events of a sealed response with [status] and [headers] may follow those that the caller has. */
    fun canContinueWith(status: HttpResponseStatus, headers: HttpHeaders): Boolean =
        body == Body.EVENTS && status.code() == this.status && StreamFormat.of(headers) == streamFormat

    /** Sends the complete response of an upstream. */
    fun sendWhole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        recordHead(status, Body.BYTES)
        call.caller.respond(status, headers.withoutConnectionFields(), body)
    }

    /** Sends the head of a response whose body follows in parts. */
    fun beginBytes(status: HttpResponseStatus, headers: HttpHeaders) {
        recordHead(status, Body.BYTES)
        call.caller.begin(status, headers.withoutConnectionFields())
    }

    /** Sends the head of a stream. Does nothing if a stream continues from another upstream. */
    fun beginEvents(status: HttpResponseStatus, headers: HttpHeaders) {
        if (body == Body.EVENTS) return
        recordHead(status, Body.EVENTS)
        streamFormat = StreamFormat.of(headers)
        call.caller.begin(status, headers.withoutConnectionFields())
    }

    /** True if the caller already has [event]. */
    fun hasSent(event: StreamEvent): Boolean {
        val last = lastEventId
        return event.id != null && last != null && event.id <= last
    }

    /** Passes [event] to the caller with the next [flush]. Takes ownership of its bytes. */
    fun sendEvent(event: StreamEvent) {
        check(body == Body.EVENTS) { "an event without a stream" }
        lastEventId = event.id ?: lastEventId
        if (event.hasData) hasLastEventId = event.id != null
        isEventMissing = false
        timing.onEvent(context.clock())
        call.caller.append(event.bytes)
    }

    /** An upstream has sent the beginning of an event and will not complete it. */
    fun onEventBrokenOff() {
        isEventMissing = true
    }

    /** Passes [bytes] to the caller unchanged with the next [flush]. Takes ownership of them. */
    fun sendBytes(bytes: ByteBuf) {
        check(body == Body.BYTES) { "bytes of another response within a stream" }
        call.caller.append(bytes)
    }

    /** Sends the events or bytes passed on so far. */
    fun flush() = call.caller.flush()

    /** Completes a streamed response. */
    fun finish() = call.caller.finish()

    /** Responds with [refusal]. */
    fun refuse(refusal: Refusal) {
        recordHead(statusOf(refusal), Body.BYTES)
        log("refused", refusal)
        call.caller.respond(statusOf(refusal), headersOf(refusal), bodyOf(refusal))
    }

    /** Closes the connection in the middle of the response. */
    fun cut(refusal: Refusal) {
        context.meters.onResponse(call.route.kind.name, CUT)
        log("cut", refusal)
        call.caller.cut()
    }

    private fun recordHead(status: HttpResponseStatus, body: Body) {
        check(!hasBegun) { "a second head, of status ${status.code()}, within a response" }
        this.body = body
        this.status = status.code()
        context.meters.onResponse(call.route.kind.name, status.code())
        context.meters.onFirstByte(context.clock() - call.caller.receivedAt)
    }

    private fun log(event: String, refusal: Refusal) = logEvent(
        "forward",
        event,
        "request" to call.fields.request,
        "content" to call.content.knownFingerprint,
        "route" to call.route.name,
        "service" to call.service.id,
        "status" to status,
        "outcome" to refusal.outcome,
        "reason" to refusal.reason,
        "step" to refusal.step,
        "peer" to refusal.peer,
        "detail" to refusal.detail,
        "configuration" to call.configurationVersion,
        "registry-age" to context.registry.age(context.clock()),
        "after" to (context.clock() - call.caller.receivedAt),
        *timing.logFields(),
    )

    private companion object {
        /** Status under which a response that was cut off is counted. */
        const val CUT = 0
    }
}

/** How the body of a stream is to be read. */
private data class StreamFormat(val mediaType: String?, val encoding: String?) {
    companion object {
        fun of(headers: HttpHeaders) = StreamFormat(
            headers[HttpHeaderNames.CONTENT_TYPE]?.substringBefore(';')?.trim()?.lowercase(),
            headers[HttpHeaderNames.CONTENT_ENCODING]?.trim()?.lowercase(),
        )
    }
}

private fun HttpHeaders.withoutConnectionFields(): HttpHeaders = DefaultHttpHeaders(false).also { copy ->
    forEach { (name, value) -> if (!isConnectionField(name)) copy.add(name, value) }
}
