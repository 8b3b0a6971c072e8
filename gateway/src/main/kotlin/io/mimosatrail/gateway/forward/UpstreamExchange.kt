package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.net.AnswerListener
import io.mimosatrail.gateway.net.UpstreamConnection
import io.mimosatrail.gateway.wire.AnswerFields
import io.mimosatrail.gateway.wire.SendFields
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends a request over one connection, checks the answer and passes it to [answer]. */
internal class UpstreamExchange(
    private val call: RoutedCall,
    private val target: Target,
    private val context: ForwardContext,
    private val answer: CallerAnswer,
    private val owner: AttemptOwner,
) : AnswerListener {
    private enum class Mode { WAITING, DISCARDING, BUFFERING, RELAYING, STREAMING }

    private var connection: UpstreamConnection? = null
    private var mode = Mode.WAITING
    private var status = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private var refusal = SendEnd.REJECTED
    private val body = Unpooled.buffer(INITIAL_BODY_BYTES)
    private val splitter = EventSplitter()
    private var sentAt: Moment = context.clock()
    private var lastSign: Moment = sentAt

    /** True once bytes of the request may have left. */
    val isSent: Boolean get() = connection != null

    fun send(connection: UpstreamConnection) {
        this.connection = connection
        sentAt = context.clock()
        lastSign = sentAt
        connection.send(request(), this)
    }

    /** What a stream over the target's path shows. */
    fun sign(now: Moment): StreamActivity = StreamActivity(target.members, silence(now))

    /** Time since the last sign of the upstream. */
    fun silence(now: Moment): Duration = now - lastSign

    /** True where the upstream has been silent for longer than it should be. */
    fun isSilent(now: Moment): Boolean = isSent && silence(now) > silenceLimit()

    /** True where waiting any longer would make the caller leave. */
    fun isVerySilent(now: Moment): Boolean = isSent && silence(now) > LONGEST_SILENCE

    /** Gives a stream that was led another way time to go on. */
    fun onRedirected() {
        lastSign = context.clock()
    }

    fun setReading(isReading: Boolean) {
        connection?.setReading(isReading)
    }

    /** Ends the send from this side; the owner hears nothing. */
    fun abort() {
        connection?.abort()
    }

    /** Ends the send from this side as failed. */
    fun fail(end: SendEnd, detail: String) {
        connection?.abort()
        owner.onFailed(end, detail)
    }

    override fun onHead(head: HttpResponse) {
        lastSign = context.clock()
        val fields = context.headers.readAnswer(head.headers())
        if (fields.request != null && call.fields.request != null && fields.request != call.fields.request) {
            return fail(SendEnd.GARBLED, "the upstream sent the answer to request ${fields.request}")
        }
        status = head.status()
        headers = head.headers()
        fields.load?.let { context.traffic.onLoadReport(target.upstream.id, it.running + it.waiting, lastSign) }
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST || fields.hasNotRun) return onRefused(fields)
        mode = when {
            !isSuccess() -> Mode.BUFFERING
            !fields.isSealed -> return fail(SendEnd.GARBLED, "the answer has no seal")
            call.route.kind == RouteKind.STREAMING -> Mode.STREAMING
            else -> Mode.BUFFERING
        }
    }

    override fun onBody(part: ByteBuf) {
        lastSign = context.clock()
        when (mode) {
            Mode.STREAMING -> stream(part)
            Mode.RELAYING -> relay(part)
            Mode.BUFFERING -> buffer(part)
            Mode.DISCARDING, Mode.WAITING -> Unit
        }
    }

    override fun onEnd() {
        when (mode) {
            Mode.STREAMING -> finishStream()
            Mode.RELAYING -> complete { answer.finish() }
            Mode.BUFFERING -> finishBuffer()
            Mode.DISCARDING -> owner.onFailed(refusal, "the upstream answered ${status.code()}, not run")
            Mode.WAITING -> owner.onFailed(SendEnd.GARBLED, "the answer has no head")
        }
    }

    override fun onFailed(end: SendEnd, detail: String) {
        if (headers == null) context.traffic.onSendFailed(target.upstream.id, sentAt, context.clock())
        context.traffic.onAnswer(target.upstream.id, hasFailed = true, context.clock())
        owner.onFailed(end, detail)
    }

    private fun onRefused(fields: AnswerFields) {
        mode = Mode.DISCARDING
        refusal = if (status == HttpResponseStatus.MISDIRECTED_REQUEST) SendEnd.MISDIRECTED else SendEnd.REJECTED
        val at = fields.faultAt?.let { fault -> target.path.firstOrNull { it.engine.address == fault } }
        val refusing = at?.engine?.id ?: target.upstream.id
        context.refusals.onRefused(refusing, call.service, refusal)
        logProblem(
            "forward",
            "upstream-refused",
            "request" to call.fields.request,
            "upstream" to target.upstream.id,
            "fault-at" to refusing,
            "status" to status.code(),
        )
    }

    private fun stream(part: ByteBuf) {
        splitter.add(part) { event ->
            headers?.let { answer.begin(status, it) }
            answer.event(event)
        }
        if (!answer.isWritable) connection?.setReading(false)
    }

    private fun finishStream() {
        if (splitter.hasRest) return owner.onFailed(SendEnd.BROKEN, "the stream ended within an event")
        complete {
            headers?.let { answer.begin(status, it) }
            answer.finish()
        }
    }

    private fun buffer(part: ByteBuf) {
        body.writeBytes(part)
        if (body.readableBytes() <= MAX_BUFFERED_BYTES) return
        mode = Mode.RELAYING
        headers?.let { answer.begin(status, it) }
        answer.bytes(body.copy())
    }

    private fun relay(part: ByteBuf) {
        answer.bytes(part.copy())
        if (!answer.isWritable) connection?.setReading(false)
    }

    private fun finishBuffer() {
        val hasFailed = status.codeClass() == HttpStatusClass.SERVER_ERROR
        if (hasFailed && (answer.hasBegun || owner.mayReplaceFailure())) {
            val now = context.clock()
            context.traffic.onAnswer(target.upstream.id, hasFailed = true, now)
            context.traffic.onSendFailed(target.upstream.id, sentAt, now)
            return owner.onFailed(SendEnd.FAILED, "the upstream answered ${status.code()}")
        }
        complete(hasFailed) { headers?.let { answer.whole(status, it, body) } }
    }

    private fun complete(hasFailed: Boolean = false, pass: () -> Unit) {
        context.traffic.onAnswer(target.upstream.id, hasFailed, context.clock())
        context.traffic.onProcessed(target.members)
        pass()
        owner.onComplete()
    }

    private fun isSuccess(): Boolean = status.codeClass() == HttpStatusClass.SUCCESS

    private fun silenceLimit(): Duration = when {
        call.route.kind != RouteKind.STREAMING -> maxOf(call.route.target * TARGETS_OF_SILENCE, LEAST_SILENCE)
        answer.hasBegun -> EVENT_SILENCE
        else -> FIRST_EVENT_SILENCE
    }

    private fun request(): FullHttpRequest {
        val original = call.caller.request
        val copy = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            original.method(),
            original.uri(),
            original.content().retainedDuplicate(),
        )
        val declared = original.headers().declaredConnectionFields()
        for ((name, value) in original.headers()) {
            if (!isConnectionField(name) && name.lowercase() !in declared) copy.headers().add(name, value)
        }
        if (original.content().isReadable || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            copy.headers()[HttpHeaderNames.CONTENT_LENGTH] = original.content().readableBytes()
        }
        context.headers.writeSend(copy.headers(), sendFields())
        return copy
    }

    private fun sendFields() = SendFields(
        upstream = target.upstream.id,
        remaining = call.giveUpAt - context.clock(),
        workspace = call.workspace?.id,
        path = target.path,
        lastEvent = answer.lastEvent,
    )

    private companion object {
        const val INITIAL_BODY_BYTES = 1024

        /** A larger answer is passed on before it is complete. */
        const val MAX_BUFFERED_BYTES = 512 * 1024

        /** Answers within three times the objective are slow, later ones are taken to be lost. */
        const val TARGETS_OF_SILENCE = 3
        val LEAST_SILENCE = 250.milliseconds

        /** Callers leave a stream after a gap of two seconds; this leaves time to go on elsewhere. */
        val LONGEST_SILENCE = 1_300.milliseconds

        /** Pauses longer than this are looked into; asking costs little. */
        val EVENT_SILENCE = 400.milliseconds
        val FIRST_EVENT_SILENCE = 600.milliseconds
    }
}
