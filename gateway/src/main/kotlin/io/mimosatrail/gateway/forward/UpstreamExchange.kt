package io.mimosatrail.gateway.forward

import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.quarantine.BrokenRun
import io.mimosatrail.core.rank.urgencyOf
import io.mimosatrail.core.send.SendEnd
import io.mimosatrail.core.stall.StreamActivity
import io.mimosatrail.core.time.Moment
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.net.AnswerListener
import io.mimosatrail.gateway.net.UpstreamConnection
import io.mimosatrail.gateway.wire.ResponseFields
import io.mimosatrail.gateway.wire.UpstreamRequestFields
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

/**
 * One request to an upstream over one connection. Checks the upstream's response and relays it to [response].
 *
 * A streamed response is relayed event by event, any other in full once it is complete or too large to buffer.
 */
internal class UpstreamExchange(
    private val call: RoutedCall,
    private val target: Target,
    private val context: ForwardContext,
    private val response: CallerResponse,
    private val callbacks: ExchangeCallbacks,
) : AnswerListener {
    private enum class Mode {
        /** No response head has been received. */
        WAITING,

        /** The answer is of no use for the response, and its body is dropped. */
        DISCARDING,

        /** The body is collected. */
        BUFFERING,

        /** The body has become too large to buffer and is relayed as it arrives. */
        RELAYING,

        /** The body is a stream of events, of which each is relayed when it is complete. */
        STREAMING,
    }

    private var connection: UpstreamConnection? = null
    private var mode = Mode.WAITING
    private var status = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null

    /** How the send ends if the answer is discarded. */
    private var discardEnd = SendEnd.REJECTED
    private var discardedBytes = 0
    private val body = Unpooled.buffer(INITIAL_BODY_BYTES)

    /** Bytes of [body] that count among those of all requests. */
    private var countedBytes = 0
    private val splitter = EventSplitter()
    private var sentAt: Moment = context.clock()

    /** When the request was sent or redirected. */
    var onPathSince: Moment = sentAt
        private set
    private var lastActivity: Moment = sentAt
    private var isContinuation = false

    /** Id of the last event that the caller had when this answer began to continue the stream. */
    private var continuesAfter: Long? = null
    private var hasUnplacedEvent = false
    private var firstEventAt: Moment? = null

    /** True if the answer is a stream that has been going on for some time. */
    var isWellUnderWay = false
        private set

    /** True if the upstream has sent an event since the request was sent or redirected. */
    var isProducing = false
        private set

    /** True while nothing is read since the caller receives more slowly than the upstream sends. */
    var isPaused = false
        private set

    /** True once bytes of the request may have been sent. */
    val isSent: Boolean get() = connection != null

    /** This run of the request if an upstream crashes now that it has not left since it was sent or redirected. */
    fun brokenRun() = BrokenRun(call.content, onPathSince, context.clock(), isUnderWay = isWellUnderWay)

    /** This run of the request if the upstream was lost when it fell silent. */
    fun silentRun() = BrokenRun(call.content, onPathSince, lastActivity, isUnderWay = isWellUnderWay)

    fun send(connection: UpstreamConnection) {
        this.connection = connection
        sentAt = context.clock()
        onPathSince = sentAt
        lastActivity = sentAt
        if (call.isRanked) context.meters.onRankedSend(call.rank)
        connection.send(upstreamRequest(), this)
    }

    /** Activity of a stream over the target's path. */
    fun streamActivity(now: Moment): StreamActivity = StreamActivity(target.upstreamIds, silence(now))

    /**
     * Time since the upstream last sent anything, or since the request was sent or redirected. Zero while nothing is
     * read: the upstream may be sending.
     */
    fun silence(now: Moment): Duration = if (isPaused) Duration.ZERO else now - lastActivity

    /** True if the upstream has been silent for longer than expected. */
    fun isSilent(now: Moment): Boolean = isSent && silence(now) > silenceLimit()

    /** True if the caller would abandon the stream before it continues. */
    fun isSilentTooLong(now: Moment): Boolean = isSent && silence(now) > MAX_SILENCE

    /** Restarts the measurement of silence, since a redirected stream needs time to continue. */
    fun onRedirected() {
        lastActivity = context.clock()
        onPathSince = lastActivity
        isProducing = false
    }

    /** Stops or resumes reading the response, for a caller that receives more slowly than the upstream sends. */
    fun setReading(isReading: Boolean) {
        val open = connection ?: return
        if (isPaused && isReading) lastActivity = context.clock()
        isPaused = !isReading
        open.setReading(isReading)
    }

    /** Ends the send without calling [callbacks]. */
    fun abort() {
        connection?.abort()
        uncountBody()
    }

    /** Ends the send as failed. */
    fun fail(end: SendEnd, detail: String) {
        connection?.abort()
        reportFailure(end, detail)
    }

    override fun onHead(head: HttpResponse) {
        lastActivity = context.clock()
        val fields = context.headers.readResponse(head.status().code(), head.headers())
        if (fields.request != call.fields.request) {
            context.access.onStrayAnswer(target.upstream, fields.notice)
            return fail(SendEnd.GARBLED, "the upstream sent an answer with the request id ${fields.request}")
        }
        status = head.status()
        headers = head.headers()
        context.access.onAnswer(target.upstream, fields.notice, sentAt)
        fields.load?.let { context.traffic.onLoadReport(target.upstream.id, it.running + it.waiting, lastActivity) }
        if (status in STATUSES_OF_NOT_RUN || fields.hasNotRun) return onRefusal(fields)
        if (isSuccess() && !fields.isSealed) return fail(SendEnd.GARBLED, "the answer has no seal")
        if (response.hasBegun) return onContinuation(head)
        mode = if (isSuccess() && call.route.kind == RouteKind.STREAMING) Mode.STREAMING else Mode.BUFFERING
    }

    /** Decides whether the answer continues the response, which has begun. No other may add anything to it. */
    private fun onContinuation(head: HttpResponse) {
        if (isSuccess()) {
            if (!response.canContinueWith(status, head.headers())) {
                return fail(SendEnd.GARBLED, "an answer of status ${status.code()} that doesn't continue the response")
            }
            mode = Mode.STREAMING
            isContinuation = true
            continuesAfter = response.lastEventId
            return
        }
        mode = Mode.DISCARDING
        discardEnd = SendEnd.FAILED
        if (isServerError()) recordFailure()
    }

    override fun onBody(part: ByteBuf) {
        if (mode == Mode.STREAMING) return onStreamBytes(part)
        lastActivity = context.clock()
        when (mode) {
            Mode.RELAYING -> relay(part)
            Mode.BUFFERING -> buffer(part)
            Mode.DISCARDING -> discard(part)
            Mode.STREAMING, Mode.WAITING -> Unit
        }
    }

    override fun onEnd() {
        uncountBody()
        when (mode) {
            Mode.STREAMING -> finishStream()
            Mode.RELAYING -> complete { response.finish() }
            Mode.BUFFERING -> finishBuffer()
            Mode.DISCARDING -> callbacks.onFailed(discardEnd, discardDetail())
            Mode.WAITING -> callbacks.onFailed(SendEnd.GARBLED, "the answer has no head")
        }
    }

    override fun onFailed(end: SendEnd, detail: String) {
        if (headers == null) context.traffic.onSendFailed(target.upstream.id, sentAt, context.clock())
        context.traffic.onAnswer(target.upstream.id, hasFailed = true, context.clock())
        reportFailure(end, detail)
    }

    private fun uncountBody() {
        context.bufferedBytes.remove(countedBytes)
        countedBytes = 0
    }

    private fun reportFailure(end: SendEnd, detail: String) {
        uncountBody()
        if (splitter.hasIncompleteEvent) response.onEventBrokenOff()
        callbacks.onFailed(end, detail)
    }

    private fun onRefusal(fields: ResponseFields) {
        val isProven = status == HttpResponseStatus.MISDIRECTED_REQUEST || fields.hasNotRun
        if (isProven) onRefused(fields) else onUnprovenRefusal()
    }

    private fun onRefused(fields: ResponseFields) {
        mode = Mode.DISCARDING
        discardEnd = if (status == HttpResponseStatus.MISDIRECTED_REQUEST) SendEnd.MISDIRECTED else SendEnd.REJECTED
        val segment = fields.refusingEngine?.let { address -> target.path.firstOrNull { it.engine.address == address } }
        val refusing = segment?.engine?.id ?: target.upstream.id
        if (refusing != target.upstream.id) onLaterEngineRefused(refusing)
        context.refusalWatch.onRefused(refusing, call.service, discardEnd)
        logProblem(
            "forward",
            "upstream-refused",
            "request" to call.fields.request,
            "upstream" to target.upstream.id,
            "fault-at" to refusing,
            "status" to status.code(),
        )
    }

    /**
     * The upstream's own error, which may have come after it ran the request, has a status by which callers conclude
     * that the request has not run. Only a refusal of this entry, which tells the two apart, may have such a status.
     */
    private fun onUnprovenRefusal() {
        mode = Mode.DISCARDING
        discardEnd = SendEnd.FAILED
        recordFailure()
        logProblem(
            "forward",
            "refusal-unproven",
            "request" to call.fields.request,
            "upstream" to target.upstream.id,
            "status" to status.code(),
        )
    }

    /** An engine that has been waited for, and is then named as the reason of a refusal, may have crashed meanwhile. */
    private fun onLaterEngineRefused(engine: InstanceId) {
        if (context.clock() - sentAt < MIN_STALL) return
        target.engine(engine)?.let { context.crashWatch.onSilent(it, silentRun()) }
    }

    private fun discardDetail(): String = errorDetail() + if (discardEnd.hasNotRun) ", not run" else ""

    /** Counts what is dropped of an answer, since the request is sent elsewhere only once the answer has ended. */
    private fun discard(bytes: ByteBuf) {
        discardedBytes += bytes.readableBytes()
        if (discardedBytes > MAX_DISCARDED_BYTES) fail(discardEnd, discardDetail())
    }

    private fun onStreamBytes(bytes: ByteBuf) {
        splitter.add(bytes) { event ->
            hasUnplacedEvent = hasUnplacedEvent || !isPlaced(event)
            if (hasUnplacedEvent) event.bytes.release() else sendEvent(event)
        }
        response.flush()
        if (hasUnplacedEvent) return fail(SendEnd.GARBLED, "the stream continues with an event without an id")
        if (splitter.isOverlong) return fail(SendEnd.GARBLED, "the stream contains bytes that are no event")
        if (!response.isWritable) setReading(false)
    }

    /** False if [event] may repeat one that the caller has, as it has no id. */
    private fun isPlaced(event: StreamEvent): Boolean =
        !isContinuation || event.id != null || !event.hasData || response.lastEventId != continuesAfter

    private fun sendEvent(event: StreamEvent) {
        lastActivity = context.clock()
        isProducing = true
        if (response.hasSent(event)) {
            event.bytes.release()
        } else {
            callbacks.onProgress()
            headers?.let { response.beginEvents(status, it) }
            response.sendEvent(event)
        }
        checkProgress()
    }

    private fun checkProgress() {
        val firstAt = firstEventAt ?: lastActivity.also { firstEventAt = it }
        if (isWellUnderWay || lastActivity - firstAt < CRASH_DELAY) return
        isWellUnderWay = true
        context.quarantine.onUnderWay(call.content, onPathSince, lastActivity)
    }

    private fun finishStream() {
        if (splitter.hasIncompleteEvent) return reportFailure(SendEnd.BROKEN, "the stream ended within an event")
        if (response.isEventMissing) return reportFailure(SendEnd.BROKEN, "the stream ended before an event had come")
        complete {
            headers?.let { response.beginEvents(status, it) }
            response.finish()
        }
    }

    private fun buffer(bytes: ByteBuf) {
        countedBytes += bytes.readableBytes()
        context.bufferedBytes.add(bytes.readableBytes())
        body.writeBytes(bytes)
        if (body.readableBytes() <= MAX_BUFFERED_BYTES && context.bufferedBytes.hasRoom) return
        if (isServerError() && callbacks.mayReplaceFailure()) {
            recordFailure()
            return fail(SendEnd.FAILED, errorDetail())
        }
        mode = Mode.RELAYING
        uncountBody()
        callbacks.onProgress()
        headers?.let { response.beginBytes(status, it) }
        response.sendBytes(body)
        response.flush()
    }

    private fun relay(bytes: ByteBuf) {
        response.sendBytes(bytes.copy())
        response.flush()
        if (!response.isWritable) setReading(false)
    }

    private fun finishBuffer() {
        val hasFailed = isServerError()
        if (hasFailed && callbacks.mayReplaceFailure()) {
            recordFailure()
            return callbacks.onFailed(SendEnd.FAILED, errorDetail())
        }
        complete(hasFailed) { headers?.let { response.sendWhole(status, it, body) } }
    }

    private fun errorDetail(): String = "the upstream answered ${status.code()}"

    private fun recordFailure() {
        val now = context.clock()
        context.traffic.onAnswer(target.upstream.id, hasFailed = true, now)
        context.traffic.onSendFailed(target.upstream.id, sentAt, now)
    }

    private fun complete(hasFailed: Boolean = false, deliver: () -> Unit) {
        context.traffic.onAnswer(target.upstream.id, hasFailed, context.clock())
        context.traffic.onProcessed(target.upstreamIds)
        callbacks.onProgress()
        deliver()
        callbacks.onComplete()
    }

    private fun isSuccess(): Boolean = status.codeClass() == HttpStatusClass.SUCCESS

    private fun isServerError(): Boolean = status.codeClass() == HttpStatusClass.SERVER_ERROR

    private fun silenceLimit(): Duration = when {
        call.route.kind != RouteKind.STREAMING -> maxOf(call.route.target * SILENCE_FACTOR, MIN_SILENCE_LIMIT)
        response.hasBegun -> EVENT_SILENCE_LIMIT
        else -> FIRST_EVENT_SILENCE_LIMIT
    }

    private fun upstreamRequest(): FullHttpRequest {
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
        context.headers.writeUpstreamRequest(copy.headers(), requestFields())
        return copy
    }

    private fun requestFields() = UpstreamRequestFields(
        upstream = target.upstream.id,
        remaining = call.deadline - context.clock(),
        workspace = call.workspace?.id,
        path = target.path,
        lastEventId = response.lastEventId,
        urgency = urgencyOf(call.rank, call.ranks, isResumed = response.hasBegun),
    )

    private companion object {
        const val INITIAL_BODY_BYTES = 1024

        /** A larger response is relayed before it is complete; a retry cannot replace it any more then. */
        const val MAX_BUFFERED_BYTES = 512 * 1024

        /** Longest discarded answer after which the connection is kept. */
        const val MAX_DISCARDED_BYTES = 64 * 1024

        /** In multiples of the route's latency objective: a later response is assumed to be lost, not just slow. */
        const val SILENCE_FACTOR = 3
        val MIN_SILENCE_LIMIT = 250.milliseconds

        /** An engine that crashes because of a part of a prompt does so within this time after its first event. */
        val CRASH_DELAY = 500.milliseconds

        /** Refusals that have nothing to do with a crash come within the time of a few steps. */
        val MIN_STALL = 300.milliseconds

        /** Callers abandon a stream after a pause of two seconds; this leaves time to continue at another upstream. */
        val MAX_SILENCE = 1_300.milliseconds

        /** A longer silence is investigated, which costs little. */
        val EVENT_SILENCE_LIMIT = 400.milliseconds
        val FIRST_EVENT_SILENCE_LIMIT = 600.milliseconds
    }
}
