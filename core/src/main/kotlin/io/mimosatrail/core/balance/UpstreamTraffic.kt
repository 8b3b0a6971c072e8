package io.mimosatrail.core.balance

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.path.PathSegment
import io.mimosatrail.core.registry.RegistryChange
import io.mimosatrail.core.time.Moment

/** Rows of all upstreams that this process sends to. Not thread-safe. */
class UpstreamTraffic {
    private val rows = HashMap<InstanceId, TrafficRow>()

    /** The row of [id]. */
    operator fun get(id: InstanceId): TrafficRow = rows.getOrPut(id) { TrafficRow() }

    /** Notes that a request is handed to [id]. */
    fun onStart(id: InstanceId) = get(id).onStart()

    /** Notes that a request handed to [id] is over. */
    fun onEnd(id: InstanceId) = get(id).onEnd()

    /** Notes a whole answer of [id]. */
    fun onAnswer(id: InstanceId, hasFailed: Boolean, now: Moment) = get(id).onAnswer(hasFailed, now)

    /** Notes that [id] gave no usable answer to a request that was sent to it at [sentAt]. */
    fun onSendFailed(id: InstanceId, sentAt: Moment, now: Moment) = get(id).onSendFailed(sentAt, now)

    /** Notes that [id] told of [requests] that it has running and waiting. */
    fun onToldLoad(id: InstanceId, requests: Int, now: Moment) = get(id).onToldLoad(requests, now)

    /** Notes that [id] took no connection or gave no sign for too long. */
    fun onSilence(id: InstanceId, now: Moment) = get(id).onSilence(now)

    /** Notes that another entry found [id] to be down; answers true where that is news. */
    fun onToldDown(id: InstanceId, now: Moment): Boolean {
        val row = get(id)
        val isNews = !row.isSilent(now)
        row.onToldDown(now)
        return isNews
    }

    /** Upstreams that this process has just found to be down. */
    fun foundDown(now: Moment): List<InstanceId> = rows.filter { (_, row) -> row.wasFoundDown(now) }.keys.toList()

    /** What this process has at each engine. */
    fun loads(): List<EngineLoad> = rows.filter { (_, row) -> row.sequences > 0 }
        .map { (id, row) -> EngineLoad(id, row.sequences, row.tokenLayers) }

    /** Notes that [id] had no more room while [usedShare] of its room was taken to be in use. */
    fun onFull(id: InstanceId, usedShare: Double, now: Moment) = get(id).onFull(usedShare, now)

    /** Notes that each of [ids] took its part of a request. */
    fun onWorked(ids: List<InstanceId>) = ids.forEach { rows[it]?.onWorked() }

    /** Notes that [id] would not take a request or its part of one. */
    fun onRefusal(id: InstanceId, now: Moment) = get(id).onRefusal(now)

    /** Counts a stream of [tokens] tokens at every engine of its path. */
    fun reserve(path: List<PathSegment>, tokens: Int) =
        path.forEach { get(it.engine.id).reserve(tokens.toLong() * it.layers.size) }

    /** Takes back what [reserve] counted. */
    fun release(path: List<PathSegment>, tokens: Int) =
        path.forEach { get(it.engine.id).release(tokens.toLong() * it.layers.size) }

    /** Forgets what was learnt of an upstream's earlier life. */
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
