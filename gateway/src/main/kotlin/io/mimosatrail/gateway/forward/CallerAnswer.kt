package io.mimosatrail.gateway.forward

import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.gateway.log.logEvent
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** The answer to one caller, put together from the answers of one or more upstreams. */
internal class CallerAnswer(private val call: RoutedCall, private val context: ForwardContext) {
    /** Status that was sent to the caller, 0 before. */
    var status = 0
        private set

    /** Id of the last event that was passed on. */
    var lastEvent: Long? = call.fields.lastEvent
        private set

    /** How evenly the events came. */
    val pace = AnswerPace(call.caller.receivedAt)

    /** True once the caller has got the head of an answer. */
    val hasBegun: Boolean get() = status != 0

    val isWritable: Boolean get() = call.caller.isWritable

    /** Sends a whole answer of an upstream. */
    fun whole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        note(status)
        call.caller.answer(status, headers.withoutConnectionFields(), body)
    }

    /** Sends the head of a streamed answer; a stream that goes on at another upstream keeps its first head. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders) {
        if (hasBegun) return
        note(status)
        call.caller.begin(status, headers.withoutConnectionFields())
    }

    /** Passes an event on, unless the caller has it already. */
    fun event(event: StreamEvent) {
        val last = lastEvent
        if (event.id != null && last != null && event.id <= last) {
            event.bytes.release()
            return
        }
        lastEvent = event.id ?: last
        pace.onPart(context.clock())
        call.caller.write(event.bytes)
    }

    /** Passes bytes on as they are. */
    fun bytes(part: ByteBuf) = call.caller.write(part)

    /** Ends a streamed answer as complete. */
    fun finish() = call.caller.finish()

    /** Answers with a refusal. */
    fun refuse(refusal: Refusal) {
        note(statusOf(refusal))
        log("refused", refusal)
        call.caller.answer(statusOf(refusal), headersOf(refusal), bodyOf(refusal))
    }

    /** Cuts an answer that was begun. */
    fun cut(refusal: Refusal) {
        context.meters.onAnswer(call.route.kind.name, CUT)
        log("cut", refusal)
        call.caller.cut()
    }

    private fun note(status: HttpResponseStatus) {
        this.status = status.code()
        context.meters.onAnswer(call.route.kind.name, status.code())
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
        *pace.fields(),
    )

    private companion object {
        /** Status under which cut answers are counted. */
        const val CUT = 0
    }
}

private fun HttpHeaders.withoutConnectionFields(): HttpHeaders = DefaultHttpHeaders(false).also { copy ->
    forEach { (name, value) -> if (!isConnectionField(name)) copy.add(name, value) }
}
