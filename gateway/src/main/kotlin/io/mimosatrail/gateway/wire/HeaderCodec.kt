package io.mimosatrail.gateway.wire

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PromptPartId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.rank.Urgency
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/** Converts between typed fields and the HTTP headers that a deployment uses for them. */
interface HeaderCodec {
    /** Reads the fields of a caller's request. */
    fun readRequest(headers: HttpHeaders): RequestFields

    /** Turns [headers], a copy of the caller's request headers, into the headers of a request to an upstream. */
    fun writeUpstreamRequest(headers: HttpHeaders, fields: UpstreamRequestFields)

    /** Reads the fields of an upstream's response with [status]. */
    fun readResponse(status: Int, headers: HttpHeaders): ResponseFields
}

/**
 * Header fields of a caller's request. Each is null if the header is absent or cannot be read.
 *
 * [remaining] is how long the caller will still wait. [promptTokens] is the length of the prompt, [maxOutputTokens] the
 * limit of the output, and [expectedOutputTokens] the caller's estimate of its length. [lastEventId] is the id of the
 * last event that the caller has received, if it resumes a stream. [promptParts] are the parts of the prompt in order;
 * the last one belongs to this request or its session alone, the others may be shared.
 */
data class RequestFields(
    val request: RequestId?,
    val remaining: Duration?,
    val apiKey: String?,
    val promptTokens: Int?,
    val maxOutputTokens: Int?,
    val expectedOutputTokens: Int?,
    val lastEventId: Long?,
    val promptParts: List<PromptPartId> = emptyList(),
)

/**
 * Header fields of a request to an upstream. [upstream] is the instance that must process it; any other that uses the
 * address now refuses it. [remaining] is the time until the deadline. [workspace] is null if no API key is needed.
 * [path] lists the engines that process the request in turn; empty for plain services. [lastEventId] is the id of the
 * last event that the caller has, or null if it has none. [urgency] is null if all requests for the service have the
 * same rank.
 */
data class UpstreamRequestFields(
    val upstream: InstanceId,
    val remaining: Duration,
    val workspace: WorkspaceId?,
    val path: List<PathSegment> = emptyList(),
    val lastEventId: Long? = null,
    val urgency: Urgency? = null,
)

/**
 * Header fields of an upstream's response. [isSealed] is true if the response has the upstream's seal; a successful
 * response without one is not accepted. [hasNotRun] is true if the upstream states that it did not run the request;
 * [refusingEngine] is then the engine on the path that caused the refusal, or null if it is not given. [load] is null
 * if the upstream did not report its load.
 */
data class ResponseFields(
    val request: RequestId?,
    val isSealed: Boolean,
    val hasNotRun: Boolean,
    val refusingEngine: PeerAddress?,
    val load: ReportedLoad?,
    val notice: UpstreamNotice = UpstreamNotice(),
)

/** Load of an upstream: its [running] and [waiting] requests, and the number of requests that it can run at once. */
data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
