package io.mimosatrail.core.pipeline.simulation

import io.mimosatrail.core.pipeline.KvSnapshot
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.StageResult
import io.mimosatrail.core.pipeline.StageWork
import io.mimosatrail.core.pipeline.toTokenIds
import java.nio.ByteBuffer

/**
 * An engine that runs [layers] of a [LayeredModel].
 *
 * Like an engine without checks, it accepts work at any position, so that a wrong position changes the tokens.
 */
class VirtualEngine(private val layers: LayerRange, private val modelLayers: Int, private val sampleOffset: () -> Int) {
    private class Sequence(val states: LongArray, var positions: Int)

    private val sequences = HashMap<String, Sequence>()

    /** Number of sequences with a KV cache. */
    val size: Int get() = sequences.size

    fun run(work: StageWork): StageResult {
        work.snapshot?.let { load(work.sequence, it) }
        if (work.position == 0) sequences[work.sequence] = newSequence()
        val sequence = sequences[work.sequence] ?: return StageResult.Failed("unknown-sequence", notRun = true)
        val outputs = inputsOf(work).map { run(sequence, it) }
        if (layers.end == modelLayers) return StageResult.Token(LayeredModel.sample(outputs.last()) + sampleOffset())
        val bytes = ByteBuffer.allocate(outputs.size * Long.SIZE_BYTES)
        outputs.forEach { bytes.putLong(it) }
        return StageResult.Activations(bytes.array())
    }

    fun free(sequence: String) {
        sequences.remove(sequence)
    }

    fun export(sequence: String): KvSnapshot? {
        val found = sequences[sequence] ?: return null
        val bytes = ByteBuffer.allocate(found.states.size * Long.SIZE_BYTES)
        found.states.forEach { bytes.putLong(it) }
        return KvSnapshot(found.positions, bytes.array())
    }

    private fun newSequence() = Sequence(LongArray(layers.size) { LayeredModel.initial(layers.first + it) }, 0)

    private fun load(name: String, snapshot: KvSnapshot) {
        val buffer = ByteBuffer.wrap(snapshot.state)
        sequences[name] = Sequence(LongArray(layers.size) { buffer.getLong() }, snapshot.positions)
    }

    private fun inputsOf(work: StageWork): List<Long> {
        if (work.firstStage) return work.input.toTokenIds().map { LayeredModel.embed(it) }
        val buffer = ByteBuffer.wrap(work.input)
        return List(work.input.size / Long.SIZE_BYTES) { buffer.getLong() }
    }

    private fun run(sequence: Sequence, input: Long): Long {
        sequence.positions++
        return (0 until layers.size).fold(input) { activation, slot ->
            LayeredModel.layer(sequence.states, slot, layers.first + slot, activation)
        }
    }
}
