package io.mimosatrail.gateway.forward

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.gateway.log.logEvent
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** The response to one caller, assembled from the responses of one or more upstreams. */
internal class CallerResponse(private val call: RoutedCall, private val context: ForwardContext) {
    /** Status that was sent to the caller; 0 before. */
    var status = 0
        private set

    /** Id of the last event that the caller has, or null if it has none with an id. */
    var lastEventId: Long? = call.fields.lastEventId
        private set

    val timing = StreamTiming(call.caller.receivedAt)

    /** True once a response head has been sent to the caller. */
    val hasBegun: Boolean get() = status != 0

    val isWritable: Boolean get() = call.caller.isWritable

    /** Sends the complete response of an upstream. */
    fun sendWhole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        recordHead(status)
        call.caller.respond(status, headers.withoutConnectionFields(), body)
    }

    /** Sends the head of a streamed response. Does nothing if a stream continues from another upstream. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        if (hasBegun) return
        recordHead(status)
        call.caller.begin(status, headers.withoutConnectionFields())
    }

    /** True if the caller already has [event]. */
    fun hasSent(event: StreamEvent): Boolean {
        val last = lastEventId
        return event.id != null && last != null && event.id <= last
    }

    /** Passes [event] to the caller. Takes ownership of its bytes. */
    fun sendEvent(event: StreamEvent) {
        lastEventId = event.id ?: lastEventId
        timing.onEvent(context.clock())
        call.caller.write(event.bytes)
    }

    /** Passes [bytes] to the caller unchanged. Takes ownership of them. */
    fun sendBytes(bytes: ByteBuf) = call.caller.write(bytes)

    /** Completes a streamed response. */
    fun finish() = call.caller.finish()

    /** Responds with [refusal]. */
    fun refuse(refusal: Refusal) {
        recordHead(statusOf(refusal))
        log("refused", refusal)
        call.caller.respond(statusOf(refusal), headersOf(refusal), bodyOf(refusal))
    }

    /** Closes the connection in the middle of the response. */
    fun cut(refusal: Refusal) {
        context.meters.onResponse(call.route.kind.name, CUT)
        log("cut", refusal)
        call.caller.cut()
    }

    private fun recordHead(status: HttpResponseStatus) {
        this.status = status.code()
        context.meters.onResponse(call.route.kind.name, status.code())
        context.meters.onFirstByte(context.clock() - call.caller.receivedAt)
    }

    private fun log(event: String, refusal: Refusal) = logEvent(
        "forward",
        event,
        "request" to call.fields.request,
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

private fun HttpHeaders.withoutConnectionFields(): HttpHeaders = DefaultHttpHeaders(false).also { copy ->
    forEach { (name, value) -> if (!isConnectionField(name)) copy.add(name, value) }
}
