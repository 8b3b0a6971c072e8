package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment

/**
 * A request that waits for an upstream. A lower [priority] runs first.
 *
 * It is queued only if it is predicted to start by [startBy], and refused once it has waited beyond [expires]. [share]
 * is the weight of its workspace, and [cost] its size in any unit that the upstream uses throughout.
 */
data class QueuedWork(
    val request: RequestId,
    val workspace: WorkspaceId,
    val priority: Int,
    val startBy: Moment,
    val share: Int = 1,
    val cost: Double = 1.0,
    val expires: Moment = startBy,
)
