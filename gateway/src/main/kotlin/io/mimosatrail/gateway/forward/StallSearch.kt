package io.mimosatrail.gateway.forward

import io.mimosatrail.core.balance.UpstreamTraffic
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.registry.UpstreamRecord
import io.mimosatrail.core.time.Clock
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.wire.EngineControl
import io.mimosatrail.gateway.wire.EngineReport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch

/**
 * Asks the first engine of a path which engine a silent stream waits for. Streams that begin at the same engine share
 * one question.
 */
internal class StallSearch(
    private val engines: EngineControl,
    private val traffic: UpstreamTraffic,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val onDown: (InstanceId) -> Unit,
) {
    private val pending = HashMap<InstanceId, Deferred<EngineReport?>>()

    /** Calls [done] once it is known which engines of [target] are down; all that depend on one hear of it first. */
    fun run(target: Target, done: () -> Unit) {
        scope.launch {
            val culprits = culprits(target, report(target.upstream))
            culprits.forEach { culprit ->
                if (!traffic[culprit].isSilent(clock())) {
                    logProblem("forward", "engine-down", "engine" to culprit, "told-by" to target.upstream.id)
                    traffic.onSilence(culprit, clock())
                }
                onDown(culprit)
            }
            done()
        }
    }

    private suspend fun report(engine: UpstreamRecord): EngineReport? {
        val asked = pending.getOrPut(engine.id) { scope.async { engines.report(engine) } }
        return asked.await().also { pending -= engine.id }
    }

    private fun culprits(target: Target, report: EngineReport?): List<InstanceId> {
        if (report == null) return listOf(target.upstream.id)
        traffic[target.upstream.id].slowness = report.slowness
        return target.path.map { it.engine }
            .filter { engine -> report.stalled.any { it.id == engine.id || it.address == engine.address } }
            .map { it.id }
    }
}
