package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.pipeline.StageEffect
import io.mimosatrail.core.pipeline.StageWork
import io.mimosatrail.core.pipeline.StreamMessage
import kotlin.time.Duration

/** A sidecar with its engine. A crash loses everything; a pause holds events back until its end. */
class VirtualStage(
    private val cluster: VirtualCluster,
    instance: InstanceId,
    address: PeerAddress,
    layers: LayerRange,
) {
    val stage = Stage(instance, address, layers)
    private var table = cluster.newStageTable(instance)
    private var engine = VirtualEngine(layers, cluster.layers, cluster::sampling)
    private var life = 0

    var crashed = false
        private set

    /** True where a crash was silent. */
    var vanished = false
        private set
    var pausedUntil = cluster.time.now
    var slowdown = 1

    /** Work run, for inspection. */
    val sequences: Int get() = engine.size
    val retainedBytes: Long get() = table.retainedBytes

    /** Ends the process; with [silent] true its connections stay open, as after the loss of a machine. */
    fun crash(silent: Boolean = false) {
        crashed = true
        vanished = silent
        life++
        if (!silent) cluster.closeLinks(stage.address)
    }

    /** Starts again with nothing. */
    fun restart() {
        table = cluster.newStageTable(stage.instance)
        engine = VirtualEngine(stage.layers, cluster.layers, cluster::sampling)
        crashed = false
        vanished = false
    }

    fun drain() {
        table.draining = true
    }

    fun receive(message: StreamMessage) = act { table.onMessage(message, cluster.time.now) }

    fun alive(entry: InstanceId) = act {
        table.onAlive(entry, cluster.time.now)
        emptyList()
    }

    fun unsent(to: PeerAddress, message: StreamMessage) = act { table.onUnsent(to, message) }

    fun tick() = act { table.onTick(cluster.time.now) }

    private fun act(event: () -> List<StageEffect>) {
        if (crashed) return
        val current = life
        if (pausedUntil > cluster.time.now) {
            cluster.time.at(pausedUntil) { if (life == current) act(event) }
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
        val current = life
        cluster.time.after(timeOf(work) * slowdown) {
            if (life == current) act { table.onResult(work, engine.run(work), cluster.time.now) }
        }
    }

    private fun timeOf(work: StageWork): Duration =
        cluster.speed.step + cluster.speed.prefillPosition * (work.count - 1)
}
