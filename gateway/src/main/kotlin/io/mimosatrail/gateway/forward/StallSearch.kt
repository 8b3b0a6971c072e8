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

/**
 * Asks the first engine of a path which engines its silent streams wait for. Streams that begin at the same engine
 * share one question, and an engine that is down is reported once for all of them.
 */
internal class StallSearch(
    private val engines: EngineControl,
    private val registry: UpstreamRegistry,
    private val traffic: UpstreamTraffic,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val onDown: (InstanceId) -> Unit,
) {
    private val pending = HashMap<InstanceId, Job>()

    /** Calls [done] once it is known which engines [first] waits for; all that depend on one hear of it first. */
    fun run(first: UpstreamRecord, done: () -> Unit) {
        val search = pending.getOrPut(first.id) {
            scope.launch {
                search(first)
                pending -= first.id
            }
        }
        scope.launch {
            search.join()
            done()
        }
    }

    private suspend fun search(first: UpstreamRecord) {
        for (culprit in culprits(first, engines.report(first))) {
            if (!traffic[culprit].isPresumedDown(clock())) {
                logProblem("forward", "engine-down", "engine" to culprit, "told-by" to first.id)
                traffic.onDetectedDown(culprit, clock())
            }
            onDown(culprit)
        }
    }

    private fun culprits(first: UpstreamRecord, report: EngineReport?): List<InstanceId> {
        if (report == null) return listOf(first.id)
        traffic[first.id].slowness = report.slowness
        return registry.of(first.service)
            .filter { engine -> report.stalled.any { it.id == engine.id || it.address == engine.address } }
            .map { it.id }
    }
}
