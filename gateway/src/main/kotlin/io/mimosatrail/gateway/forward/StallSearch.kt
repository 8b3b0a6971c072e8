package io.mimosatrail.gateway.forward

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.gateway.log.logProblem
import io.mimosatrail.gateway.wire.EngineReport
import kotlinx.coroutines.launch

/** Asks the first engine of a path which engine a silent stream waits for. */
internal class StallSearch(
    private val context: ForwardContext,
    private val target: Target,
    private val request: RequestId?,
) {
    /** Passes the engines that are taken to be down to [found]; none where the path is only slow. */
    fun run(found: (List<InstanceId>) -> Unit) {
        context.scope.launch {
            val report = context.engines.report(target.upstream)
            val culprits = if (report == null) listOf(target.upstream.id) else culpritsIn(report)
            culprits.forEach { context.traffic.onSilence(it, context.clock()) }
            logProblem("forward", "stalled", "request" to request, "target" to target, "down" to culprits)
            found(culprits)
        }
    }

    private fun culpritsIn(report: EngineReport): List<InstanceId> = target.path.map { it.engine }
        .filter { engine -> report.stalled.any { it.id == engine.id || it.address == engine.address } }
        .map { it.id }
}
