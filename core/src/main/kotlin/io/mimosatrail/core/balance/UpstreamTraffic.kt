package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.time.Moment

/** Traffic of this process to all upstreams, one [TrafficRow] for each. Not thread-safe. */
class UpstreamTraffic {
    private val rows = HashMap<InstanceId, TrafficRow>()

    /** The row of [id]; created if absent. */
    operator fun get(id: InstanceId): TrafficRow = rows.getOrPut(id) { TrafficRow() }

    /** Records the start of a request to [id]. */
    fun onStart(id: InstanceId) = get(id).onStart()

    /** Records the end of a request to [id], whatever its outcome. */
    fun onEnd(id: InstanceId) = get(id).onEnd()

    /** Records a complete answer of [id], or a request that failed without one. */
    fun onAnswer(id: InstanceId, hasFailed: Boolean, now: Moment) = get(id).onAnswer(hasFailed, now)

    /** Records that [id] gave no usable answer to a request sent at [sentAt]. */
    fun onSendFailed(id: InstanceId, sentAt: Moment, now: Moment) = get(id).onSendFailed(sentAt, now)

    /** Records that [id] reported [requests] running and waiting requests in an answer received at [now]. */
    fun onLoadReport(id: InstanceId, requests: Int, now: Moment) = get(id).onLoadReport(requests, now)

    /** Records that [id] accepted no connection or did not respond for too long. */
    fun onDetectedDown(id: InstanceId, now: Moment) = get(id).onDetectedDown(now)

    /** Records that another entry reported [id] as down. Returns true if it was not presumed to be down before. */
    fun onReportedDown(id: InstanceId, now: Moment): Boolean {
        val row = get(id)
        val isNew = !row.isPresumedDown(now)
        row.onReportedDown(now)
        return isNew
    }

    /** Upstreams that this process itself has recently detected to be down. */
    fun detectedDown(now: Moment): List<InstanceId> = rows.filter { (_, row) -> row.wasDetectedDown(now) }.keys.toList()

    /** Load of this process at each engine that has streams of it. */
    fun loads(): List<EngineLoad> = rows.filter { (_, row) -> row.sequences > 0 }
        .map { (id, row) -> EngineLoad(id, row.sequences, row.tokenLayers) }

    /** Records that the KV cache of [id] was full while its estimated utilization was [utilization]. */
    fun onFull(id: InstanceId, utilization: Double, now: Moment) = get(id).onFull(utilization, now)

    /** Records that each of [ids] processed a request or its stage of one, which ends its run of refusals. */
    fun onProcessed(ids: List<InstanceId>) = ids.forEach { rows[it]?.onProcessed() }

    /** Records that [id] refused a request or its stage of one. */
    fun onRefusal(id: InstanceId, now: Moment) = get(id).onRefusal(now)

    /** Adds a stream of [tokens] tokens to the load of every engine on its path. */
    fun reserve(path: List<PathSegment>, tokens: Int) =
        path.forEach { get(it.engine.id).reserve(tokens.toLong() * it.layers.size) }

    /** Removes a stream that [reserve] added with the same arguments. */
    fun release(path: List<PathSegment>, tokens: Int) =
        path.forEach { get(it.engine.id).release(tokens.toLong() * it.layers.size) }

    /** Resets the rows of restarted upstreams, and removes idle rows of upstreams that left the registry. */
    fun onRegistry(changes: List<RegistryChange>) {
        for (change in changes) {
            val hasRestarted = change.before?.startedMillis != change.after?.startedMillis
            if (change.before != null && change.after != null && hasRestarted) get(change.id).onRestart()
            if (change.after == null && rows[change.id]?.let { it.outstanding == 0 && it.sequences == 0 } == true) {
                rows -= change.id
            }
        }
    }
}
