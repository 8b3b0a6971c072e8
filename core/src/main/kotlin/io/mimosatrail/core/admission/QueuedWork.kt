package io.mimosatrail.core.admission

import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment

/**
 * Work that waits at an upstream; lower [priority] runs first.
 *
 * It is queued only where it is predicted to start by [startBy], and given up at [expires]. [share] is the weight of
 * its workspace, and [cost] its size in units of the upstream's choice.
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
