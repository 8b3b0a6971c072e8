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

/** Kind of accelerator. The step of a batch takes [baseMicros] plus [unitMicros] per unit of the batch. */
internal class AcceleratorModel(val name: String, val baseMicros: Double, val unitMicros: Double) {
    /** Units per second with full batches. */
    val unitsPerSecond: Double get() = BATCH_UNITS * 1e6 / stepMicros(BATCH_UNITS)

    fun stepMicros(units: Int): Double = baseMicros + unitMicros * units
}

/** Units of work in a full batch. */
internal const val BATCH_UNITS = 32

/** Work of one sequence in one step of a runner: one unit for a token, one or more for a prompt. */
internal class StepItem(val units: Int, val submittedAt: Moment, val done: () -> Unit)

/** A runner with continuous batching in virtual time. */
internal class RunnerModel(
    private val loop: EventLoop,
    val entry: InstanceEntry,
    val layers: LayerRange,
    private val modelLayers: Int,
    val kind: AcceleratorModel,
) {
    private val waiting = ArrayDeque<StepItem>()
    private var isStepping = false
    private var meanStepMicros = 0.0

    val id: InstanceId get() = entry.id

    /** Ratio of the model's layers that this runner holds. */
    val layerShare: Double get() = layers.size.toDouble() / modelLayers

    /** Sequences that are open at this runner. */
    var openSequences = 0

    /** Requests that wait for admission at this runner. */
    var waitingRequests = 0

    /** Factor on the duration of each step; 1 for a runner at full speed. */
    var slowdown = 1.0

    /** False after a crash: the runner then runs no steps and sends no answers. */
    var isAlive = true

    /** Called after each token step with the time since its submission, including the wait for a batch. */
    var onStep: (Duration) -> Unit = {}

    /** Called once when the runner crashes. */
    val crashListeners = mutableListOf<() -> Unit>()

    fun submit(item: StepItem) {
        if (!isAlive) return
        waiting += item
        if (!isStepping) step()
    }

    fun load() =
        UpstreamLoad(waiting = waitingRequests, running = openSequences, meanStepMicros = meanStepMicros.toLong())

    fun describe() = UpstreamDescription(
        id,
        entry.place,
        entry.address,
        checkNotNull(entry.service),
        load(),
        EngineDescription(MODEL, "1", layers, modelLayers, AcceleratorKind(kind.name), 1_024, 1L shl 36),
    )

    /** Crashes the runner. All work that waits or runs is lost. */
    fun crash() {
        isAlive = false
        waiting.clear()
        crashListeners.toList().forEach { it() }
        crashListeners.clear()
    }

    private fun step() {
        val batch = nextBatch()
        if (batch.isEmpty() || !isAlive) return
        isStepping = true
        val micros = kind.stepMicros(batch.sumOf { it.units }) * slowdown
        meanStepMicros = if (meanStepMicros == 0.0) micros else meanStepMicros * 0.9 + micros * 0.1
        loop.after(micros.microseconds) { finish(batch) }
    }

    private fun finish(batch: List<StepItem>) {
        isStepping = false
        if (!isAlive) return
        batch.forEach { item ->
            if (item.units == 1) onStep(loop.now - item.submittedAt)
            item.done()
        }
        if (!isStepping) step()
    }

    private fun nextBatch(): List<StepItem> {
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

/** One-way latency between two instances. Places with the same first letter are in the same region. */
internal fun linkLatency(from: InstanceEntry, to: InstanceEntry): Duration = when {
    from.place == to.place -> 100.microseconds
    from.place.value.first() == to.place.value.first() -> 1_000.microseconds
    else -> 10_000.microseconds
}
