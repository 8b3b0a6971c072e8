package io.mimosatrail.bench.model

import io.mimosatrail.core.admission.AdmissionGate
import io.mimosatrail.core.admission.ConcurrencyLimit
import io.mimosatrail.core.admission.ConcurrencySettings
import io.mimosatrail.core.admission.GateEffect
import io.mimosatrail.core.admission.QueuedWork
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.outcome.RefusalReason
import kotlin.time.Duration.Companion.milliseconds

/** The real admission gate in front of one simulated runner. */
internal class GateModel(private val loop: EventLoop, private val runner: RunnerModel) {
    private class WaitingRequest(val start: () -> Unit, val refuse: (RefusalReason) -> Unit)

    private val limit = ConcurrencyLimit(ConcurrencySettings(targetStepTime = 43.milliseconds * runner.layerShare))
    private val gate = AdmissionGate(limit, QUEUE_CAPACITY)
    private val waitingRequests = HashMap<RequestId, WaitingRequest>()

    init {
        runner.onStep = { time -> limit.onStep(time, gate.running, loop.now) }
        loop.every(20.milliseconds) { apply(gate.onTick(loop.now)) }
    }

    fun offer(work: QueuedWork, start: () -> Unit, refuse: (RefusalReason) -> Unit) {
        waitingRequests[work.request] = WaitingRequest(start, refuse)
        apply(gate.offer(work, loop.now))
    }

    fun onEnded(request: RequestId) {
        waitingRequests.remove(request)
        apply(gate.onEnded(request, loop.now))
    }

    private fun apply(effects: List<GateEffect>) {
        runner.openSequences = gate.running
        runner.waitingRequests = gate.waiting
        for (effect in effects) {
            when (effect) {
                is GateEffect.Start -> waitingRequests.remove(effect.work.request)?.start?.invoke()
                is GateEffect.Refuse -> waitingRequests.remove(effect.work.request)?.refuse?.invoke(effect.reason)
            }
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 64
    }
}
