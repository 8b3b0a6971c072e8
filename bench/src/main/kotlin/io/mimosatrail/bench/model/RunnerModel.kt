package io.mimosatrail.bench.model

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.membership.EngineDescription
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Kind of accelerator: a step of a batch takes [baseMicros] and [unitMicros] for each unit in it. */
internal class KindModel(val name: String, val baseMicros: Double, val unitMicros: Double) {
    /** Units a second with full batches. */
    val unitsPerSecond: Double get() = BATCH_UNITS * 1e6 / stepMicros(BATCH_UNITS)

    fun stepMicros(units: Int): Double = baseMicros + unitMicros * units
}

/** Units of work in a full batch. */
internal const val BATCH_UNITS = 32

/** Work of one sequence in one step of a runner; a prompt takes several units. */
internal class StepItem(val units: Int, val since: Moment, val done: () -> Unit)

/** A runner that batches continuously, in virtual time. */
internal class RunnerModel(
    private val loop: EventLoop,
    val entry: InstanceEntry,
    val layers: LayerRange,
    private val modelLayers: Int,
    val kind: KindModel,
) {
    private val waiting = ArrayDeque<StepItem>()
    private var isStepping = false
    private var meanStepMicros = 0.0

    val id: InstanceId get() = entry.id

    /** Ratio of the model's layers that this runner holds. */
    val layerShare: Double get() = layers.size.toDouble() / modelLayers

    /** Sequences that are open here. */
    var open = 0

    /** Requests that wait to be opened. */
    var queued = 0

    /** Factor by which each step takes longer. */
    var slowness = 1.0

    /** A dead runner neither steps nor answers. */
    var isAlive = true

    /** Hears the time of each step of a token, waiting included. */
    var onStep: (Duration) -> Unit = {}

    /** Run once when the runner dies. */
    val onDeath = mutableListOf<() -> Unit>()

    fun submit(item: StepItem) {
        if (!isAlive) return
        waiting += item
        if (!isStepping) step()
    }

    fun load() = UpstreamLoad(waiting = queued, running = open, meanStepMicros = meanStepMicros.toLong())

    fun describe() = UpstreamDescription(
        id,
        entry.place,
        entry.address,
        checkNotNull(entry.service),
        load(),
        EngineDescription(MODEL, "1", layers, modelLayers, AcceleratorKind(kind.name), 1_024, 1L shl 36),
    )

    /** Ends everything here; what was open is lost. */
    fun die() {
        isAlive = false
        waiting.clear()
        onDeath.toList().forEach { it() }
        onDeath.clear()
    }

    private fun step() {
        val batch = takeBatch()
        if (batch.isEmpty() || !isAlive) return
        isStepping = true
        val micros = kind.stepMicros(batch.sumOf { it.units }) * slowness
        meanStepMicros = if (meanStepMicros == 0.0) micros else meanStepMicros * 0.9 + micros * 0.1
        loop.after(micros.microseconds) { finish(batch) }
    }

    private fun finish(batch: List<StepItem>) {
        isStepping = false
        if (!isAlive) return
        batch.forEach { item ->
            if (item.units == 1) onStep(loop.now - item.since)
            item.done()
        }
        if (!isStepping) step()
    }

    private fun takeBatch(): List<StepItem> {
        val batch = mutableListOf<StepItem>()
        var units = 0
        while (waiting.isNotEmpty() && (batch.isEmpty() || units + waiting.first().units <= BATCH_UNITS)) {
            val item = waiting.removeFirst()
            units += item.units
            batch += item
        }
        return batch
    }

    companion object {
        val MODEL = ModelId("inspection")
    }
}

/** Time for a message between two instances: a hundredfold apart between the nearest and the farthest. */
internal fun linkTime(from: InstanceEntry, to: InstanceEntry): Duration = when {
    from.place == to.place -> 100.microseconds
    from.place.value.first() == to.place.value.first() -> 1_000.microseconds
    else -> 10_000.microseconds
}
