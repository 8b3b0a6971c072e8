package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.pipeline.FinishReason
import io.mimosatrail.core.pipeline.RecoveryWay
import io.mimosatrail.core.pipeline.StreamEffect
import io.mimosatrail.core.pipeline.StreamMessage
import io.mimosatrail.core.pipeline.StreamSpec
import io.mimosatrail.core.time.Moment

/** What one caller saw. */
class VirtualAnswer(val spec: StreamSpec, val openedAt: Moment) {
    val tokens = mutableListOf<Int>()
    val times = mutableListOf<Moment>()
    val ways = mutableListOf<RecoveryWay>()
    var finished: FinishReason? = null
    var failed: Refusal? = null
    var ends = 0

    /** True where the tokens so far are what the model may answer. */
    fun isTrue(cluster: VirtualCluster): Boolean =
        LayeredModel.accepts(spec.prompt, tokens, cluster.layers, cluster.spread)

    fun reference(layers: Int): List<Int> = LayeredModel.answer(spec.prompt, spec.maxTokens, layers)
}

/** An entry with its callers. */
class VirtualEntry(private val cluster: VirtualCluster, val instance: InstanceId, val address: PeerAddress) {
    private val table = cluster.newStreamTable(instance, address)
    val answers = LinkedHashMap<RequestId, VirtualAnswer>()
    var crashed = false
    var pausedUntil = cluster.time.now

    /** Hears of each token as it reaches the caller. */
    var onToken: (VirtualAnswer) -> Unit = {}

    /** Hears of the end of each stream. */
    var onEnd: (VirtualAnswer) -> Unit = {}

    fun open(spec: StreamSpec) {
        answers[spec.id] = VirtualAnswer(spec, cluster.time.now)
        act { table.open(spec, cluster.time.now) }
    }

    fun cancel(request: RequestId) = act { table.cancel(request) }

    fun receive(message: StreamMessage) = act { table.onMessage(message, cluster.time.now) }

    fun unsent(to: PeerAddress, message: StreamMessage) = act { table.onUnsent(to, message, cluster.time.now) }

    fun closed(to: PeerAddress) = act { table.onClosed(to, cluster.time.now) }

    fun tick() = act { table.onTick(cluster.time.now) }

    private fun act(event: () -> List<StreamEffect>) {
        if (crashed) return
        if (pausedUntil > cluster.time.now) return cluster.time.at(pausedUntil) { act(event) }
        event().forEach { perform(it) }
    }

    private fun perform(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Send -> cluster.send(address, effect.to.address, effect.message)
            is StreamEffect.KeepAlive -> cluster.sendAlive(this, effect.to.address)
            is StreamEffect.Deliver -> deliver(effect)
            is StreamEffect.Finish -> end(effect.request) { finished = effect.reason }
            is StreamEffect.Fail -> end(effect.request) { failed = effect.refusal }
            is StreamEffect.Recovering -> answers.getValue(effect.request).ways += effect.way
            is StreamEffect.Lost -> cluster.onLost(effect.instance)
            is StreamEffect.Loaded, is StreamEffect.Refused -> Unit
        }
    }

    private fun deliver(effect: StreamEffect.Deliver) {
        val answer = answers.getValue(effect.request)
        answer.tokens += effect.token
        answer.times += cluster.time.now
        onToken(answer)
    }

    private fun end(request: RequestId, note: VirtualAnswer.() -> Unit) {
        val answer = answers.getValue(request)
        answer.ends++
        answer.note()
        onEnd(answer)
    }
}
