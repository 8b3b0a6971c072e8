package io.mimosatrail.daemon.entry.call

import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import io.mimosatrail.protocol.CallHeader

/** An admitted call of a plain service; [key] is null where the call is idempotent by rule. */
class ServiceCall(
    val id: RequestId,
    val workspace: WorkspaceId,
    val service: PlainService,
    val key: IdempotencyKey?,
    val keyIsMinted: Boolean,
    val method: String,
    val path: String,
    val headers: List<CallHeader>,
    val body: ByteArray,
    val priority: Int,
    val deadline: Moment,
)
