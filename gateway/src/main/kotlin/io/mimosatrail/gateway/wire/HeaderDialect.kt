package io.mimosatrail.gateway.wire

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.path.PathSegment
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/** Translates between HTTP headers of a deployment and typed fields. */
interface HeaderDialect {
    /** Fields of a caller's request. */
    fun readCall(headers: HttpHeaders): CallFields

    /** Turns [headers], a copy of the caller's, into those of a send. */
    fun writeSend(headers: HttpHeaders, fields: SendFields)

    /** Fields of an upstream's answer. */
    fun readAnswer(headers: HttpHeaders): AnswerFields
}

/**
 * What a caller says of its request.
 *
 * [remaining] is how long it will wait, [key] its API key. [prompt] and [outputLimit] count tokens; [outputEstimate] is
 * the caller's guess of how many will be written. [lastEvent] is the last event it has of a stream that it resumes.
 */
data class CallFields(
    val request: RequestId?,
    val remaining: Duration?,
    val key: String?,
    val prompt: Int?,
    val outputLimit: Int?,
    val outputEstimate: Int?,
    val lastEvent: Long?,
)

/**
 * What is sent along with a request. [upstream] must be the one that takes it. [path] lists the engines that a stream
 * passes, [lastEvent] the last event that the caller has.
 */
data class SendFields(
    val upstream: InstanceId,
    val remaining: Duration,
    val workspace: WorkspaceId?,
    val path: List<PathSegment> = emptyList(),
    val lastEvent: Long? = null,
)

/**
 * What an upstream says along with its answer. [hasNotRun] is its word that it did not run the request. [faultAt] is
 * the engine that made it refuse, [load] its load.
 */
data class AnswerFields(
    val request: RequestId?,
    val isSealed: Boolean,
    val hasNotRun: Boolean,
    val faultAt: PeerAddress?,
    val load: ReportedLoad?,
)

/** Load of an upstream in requests. */
data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
