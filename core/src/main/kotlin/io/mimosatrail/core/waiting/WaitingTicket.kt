package io.mimosatrail.core.waiting

import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.rank.Rank
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration

/**
 * Place of one request among those that wait for a target; compared by identity. [objective] is when its latency
 * objective passes, and [limit] how long it may wait at most. [workspace] is null if no key is needed. [isRanked] is
 * true if requests for [service] differ in their ranks.
 */
class WaitingTicket(
    val service: ServiceId,
    val rank: Rank,
    val workspace: WorkspaceId?,
    val objective: Moment,
    val limit: Duration,
    val size: RequestSize = RequestSize(0, 0),
    val isRanked: Boolean = true,
) {
    /** Order of joining, set by the queue. */
    internal var number = 0L
}

/** What a request asks of an upstream, in tokens; zero for plain services. */
data class RequestSize(val promptTokens: Int, val outputTokens: Int) {
    /** True if a target with room for this has room for [other]. */
    fun covers(other: RequestSize): Boolean = promptTokens >= other.promptTokens && outputTokens >= other.outputTokens
}
