package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.registry.UpstreamRegistry
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.EngineReport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds the stalled engine behind silent streams, by asking the first engine of their path which engines it waits for.
 * Streams with the same first engine share one query, and an engine that is down is reported once for all of them.
 */
internal class StallSearch(
    private val engines: EngineControl,
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val clock: Clock,
    private val tickIntervals: TickIntervals,
    private val scope: CoroutineScope,
    private val mayCall: (InstanceId) -> Boolean,
    private val onDown: (InstanceId) -> Unit,
) {
    private val pending = HashMap<InstanceId, Job>()

    /** Searches behind the engine [first], and calls [onDone] after [onDown] was called for each engine found down. */
    fun run(first: UpstreamRecord, onDone: () -> Unit) {
        val search = pending.getOrPut(first.id) {
            scope.launch {
                try {
                    search(first)
                } finally {
                    pending -= first.id
                }
            }
        }
        scope.launch {
            search.join()
            onDone()
        }
    }

    private suspend fun search(first: UpstreamRecord) {
        if (!mayCall(first.id)) return
        val askedAt = clock()
        val report = engines.report(first)
        if (report == null && tickIntervals.longest(askedAt) > MAX_TICK_INTERVAL) return
        for (engine in stalledEngines(first, report)) {
            if (!traffic[engine].isPresumedDown(clock())) {
                logProblem("forward", "engine-down", "engine" to engine, "reported-by" to first.id)
                traffic.onDetectedDown(engine, clock())
            }
            onDown(engine)
        }
    }

    /** The engines that [first] waits for according to [report], or [first] itself if it gave no report. */
    private fun stalledEngines(first: UpstreamRecord, report: EngineReport?): List<InstanceId> {
        if (report == null) return listOf(first.id)
        traffic[first.id].slowness = report.slowness
        return registry.of(first.service)
            .filter { engine -> report.stalled.any { it.id == engine.id || it.address == engine.address } }
            .map { it.id }
    }

    private companion object {
        /** After a longer interval between two ticks, a report may have arrived and not been read in time. */
        val MAX_TICK_INTERVAL = 100.milliseconds
    }
}
