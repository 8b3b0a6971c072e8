package io.mimosatrail.protocol

import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An HTTP header of a [PlainCall] or [CallAnswer]. */
@Serializable
data class CallHeader(val name: String, val value: String)

/**
 * A call of a plain service, sent by an entry to a sidecar. [key] is null for an idempotent call. [remainingMillis] is
 * the time left until the deadline of the caller.
 */
@Serializable
@SerialName("call")
class PlainCall(
    val request: RequestId,
    val workspace: WorkspaceId,
    val service: ServiceId,
    val key: IdempotencyKey?,
    val method: String,
    val path: String,
    val headers: List<CallHeader>,
    val body: ByteArray,
    val priority: Int,
    val remainingMillis: Long,
) : PeerMessage

/** The upstream's answer. [replayed] is true if it was stored by an earlier call with the same key. */
@Serializable
@SerialName("call-answer")
class CallAnswer(
    val status: Int,
    val headers: List<CallHeader>,
    val body: ByteArray,
    val replayed: Boolean,
    val load: UpstreamLoad? = null,
) : PeerMessage

/** The call was refused, or its outcome is unknown. */
@Serializable
@SerialName("call-refused")
data class CallRefused(val refusal: Refusal, val load: UpstreamLoad? = null) : PeerMessage
