package io.mimosatrail.daemon.entry.call

import io.mimosatrail.core.config.PlainService
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import io.mimosatrail.protocol.CallHeader

/**
 * An admitted call to a plain service.
 *
 * [key] is null if a rule of the service declares the call idempotent. [isKeyGenerated] is true if the caller sent no
 * key and the entry generated one. [path] is the path below the service, with the query string.
 */
class ServiceCall(
    val id: RequestId,
    val workspace: WorkspaceId,
    val service: PlainService,
    val key: IdempotencyKey?,
    val isKeyGenerated: Boolean,
    val method: String,
    val path: String,
    val headers: List<CallHeader>,
    val body: ByteArray,
    val priority: Int,
    val deadline: Moment,
)
