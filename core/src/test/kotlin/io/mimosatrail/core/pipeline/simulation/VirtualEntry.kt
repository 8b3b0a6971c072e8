package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.FinishReason
import io.mimosatrail.core.pipeline.RecoveryStrategy
import io.mimosatrail.core.pipeline.StreamEffect
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.core.pipeline.StreamSpec
import io.mimosatrail.core.time.Moment

/** What one caller received. */
class VirtualAnswer(val spec: StreamSpec, val openedAt: Moment) {
    val tokens = mutableListOf<Int>()
    val times = mutableListOf<Moment>()
    val strategies = mutableListOf<RecoveryStrategy>()
    var finished: FinishReason? = null
    var failed: Refusal? = null

    /** Number of end events; more or fewer than one is a fault. */
    var ends = 0

    /** True if all tokens so far are valid for the prompt. */
    fun isValid(cluster: VirtualCluster): Boolean =
        LayeredModel.accepts(spec.prompt, tokens, cluster.layers, cluster.sampleChoices)

    /** The tokens of a run without random sampling. */
    fun reference(layers: Int): List<Int> = LayeredModel.answer(spec.prompt, spec.maxTokens, layers)
}

/** A simulated entry, with the answers that its callers received. */
class VirtualEntry(private val cluster: VirtualCluster, val instance: InstanceId, val address: PeerAddress) {
    private val table = cluster.newStreamTable(instance, address)
    val answers = LinkedHashMap<RequestId, VirtualAnswer>()
    var crashed = false
    var pausedUntil = cluster.time.now

    /** Called after each token that is delivered to a caller. */
    var onToken: (VirtualAnswer) -> Unit = {}

    /** Called when a stream ends. */
    var onEnd: (VirtualAnswer) -> Unit = {}

    fun open(spec: StreamSpec) {
        answers[spec.id] = VirtualAnswer(spec, cluster.time.now)
        act { table.open(spec, cluster.time.now) }
    }

    fun cancel(request: RequestId) = act { table.cancel(request) }

    fun receive(message: StreamMessage) = act { table.onMessage(message, cluster.time.now) }

    fun sendFailed(to: PeerAddress, message: StreamMessage) = act { table.onSendFailed(to, message, cluster.time.now) }

    fun connectionClosed(to: PeerAddress) = act { table.onConnectionClosed(to, cluster.time.now) }

    fun tick() = act { table.onTick(cluster.time.now) }

    private fun act(event: () -> List<StreamEffect>) {
        if (crashed) return
        if (pausedUntil > cluster.time.now) return cluster.time.at(pausedUntil) { act(event) }
        event().forEach { perform(it) }
    }

    private fun perform(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Send -> cluster.send(address, effect.to.address, effect.message)
            is StreamEffect.KeepAlive -> cluster.sendKeepAlive(this, effect.to.address)
            is StreamEffect.Deliver -> deliver(effect)
            is StreamEffect.Finish -> end(effect.request) { finished = effect.reason }
            is StreamEffect.Fail -> end(effect.request) { failed = effect.refusal }
            is StreamEffect.Recovering -> answers.getValue(effect.request).strategies += effect.strategy
            is StreamEffect.StageLost -> cluster.markLost(effect.instance)
            is StreamEffect.LoadReported, is StreamEffect.StageRefused -> Unit
        }
    }

    private fun deliver(effect: StreamEffect.Deliver) {
        val answer = answers.getValue(effect.request)
        answer.tokens += effect.token
        answer.times += cluster.time.now
        onToken(answer)
    }

    private fun end(request: RequestId, update: VirtualAnswer.() -> Unit) {
        val answer = answers.getValue(request)
        answer.ends++
        answer.update()
        onEnd(answer)
    }
}
