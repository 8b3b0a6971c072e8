package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.pipeline.StageEffect
import io.mimosatrail.core.pipeline.StageWork
import io.mimosatrail.core.pipeline.StreamMessage
import kotlin.time.Duration

/** A simulated sidecar with its engine. A crash loses all state; a pause delays events until it ends. */
class VirtualStage(
    private val cluster: VirtualCluster,
    instance: InstanceId,
    address: PeerAddress,
    layers: LayerRange,
) {
    val stage = Stage(instance, address, layers)
    private var table = cluster.newStageTable(instance)
    private var engine = VirtualEngine(layers, cluster.layers, cluster::sampleOffset)

    /** Incremented by each crash, so that delayed events of an earlier incarnation are dropped. */
    private var incarnation = 0

    var crashed = false
        private set

    /** True after a crash that left the connections open. */
    var crashedSilently = false
        private set
    var pausedUntil = cluster.time.now

    /** Multiplier of the engine time. */
    var slowdown = 1

    /** Number of sequences with a KV cache in the engine. */
    val sequences: Int get() = engine.size
    val retainedBytes: Long get() = table.retainedBytes

    /** Crashes the process. If [silent] is true, its connections stay open, as after the loss of a machine. */
    fun crash(silent: Boolean = false) {
        crashed = true
        crashedSilently = silent
        incarnation++
        if (!silent) cluster.closeLinks(stage.address)
    }

    /** Restarts the process without any state. */
    fun restart() {
        table = cluster.newStageTable(stage.instance)
        engine = VirtualEngine(stage.layers, cluster.layers, cluster::sampleOffset)
        crashed = false
        crashedSilently = false
    }

    fun drain() {
        table.draining = true
    }

    fun receive(message: StreamMessage) = act { table.onMessage(message, cluster.time.now) }

    fun entryHeartbeat(entry: InstanceId) = act {
        table.onEntryHeartbeat(entry, cluster.time.now)
        emptyList()
    }

    fun sendFailed(to: PeerAddress, message: StreamMessage) = act { table.onSendFailed(to, message) }

    fun tick() = act { table.onTick(cluster.time.now) }

    private fun act(event: () -> List<StageEffect>) {
        if (crashed) return
        val current = incarnation
        if (pausedUntil > cluster.time.now) {
            cluster.time.at(pausedUntil) { if (incarnation == current) act(event) }
            return
        }
        event().forEach { perform(it) }
    }

    private fun perform(effect: StageEffect) {
        when (effect) {
            is StageEffect.Send -> cluster.send(stage.address, effect.to, effect.message)
            is StageEffect.Run -> start(effect.work)
            is StageEffect.Free -> engine.free(effect.sequence)
            is StageEffect.Export -> engine.export(effect.sequence)?.let { snapshot ->
                act { table.onExported(effect.request, effect.sequence, snapshot) }
            }
        }
    }

    private fun start(work: StageWork) {
        val current = incarnation
        cluster.time.after(timeOf(work) * slowdown) {
            if (incarnation == current) act { table.onResult(work, engine.run(work), cluster.time.now) }
        }
    }

    private fun timeOf(work: StageWork): Duration =
        cluster.speed.step + cluster.speed.prefillPosition * (work.count - 1)
}
