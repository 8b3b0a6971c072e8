package io.mimosatrail.standins.engine

private const val MAX_RECORDS = 20_000

/** KV caches of the sequences of an engine, and records of the positions it ran. */
internal class SequenceTable(private val settings: EngineSettings) {
    private val sequences = HashMap<String, Sequence>()
    private val records = LinkedHashMap<String, RunRecord>()

    /** Bytes of KV cache in use. */
    @get:Synchronized
    val usedBytes: Long get() = sequences.values.sumOf { it.positions.toLong() } * settings.kvBytesPerToken

    /** Runs the layers of [assignment] on [inputs], the inputs of [item]. */
    @Synchronized
    fun run(item: ItemBody, inputs: LongArray, assignment: Assignment): ResultBody {
        val existing = sequences[item.sequence]
        return when {
            existing == null && item.position > 0 -> ResultBody(item.sequence, error = "unknown-sequence")
            existing != null && existing.positions != item.position ->
                ResultBody(item.sequence, error = "position-mismatch", cachedPositions = existing.positions)
            !hasCapacityFor(item.count) -> ResultBody(item.sequence, error = "out-of-memory")
            else -> runItem(item, inputs, assignment, existing ?: create(item.sequence, assignment))
        }
    }

    @Synchronized
    fun free(sequence: String) {
        sequences.remove(sequence)
    }

    @Synchronized
    fun clear() = sequences.clear()

    /** KV cache of [sequence], or null if there is none. */
    @Synchronized
    fun export(sequence: String): KvBody? = sequences[sequence]?.let { KvBody(it.positions, it.states.toBase64()) }

    /** Replaces the KV cache of [sequence] with an exported one. If that exceeds the free capacity, returns false. */
    @Synchronized
    fun import(sequence: String, positions: Int, states: LongArray): Boolean {
        sequences.remove(sequence)
        if (!hasCapacityFor(positions)) return false
        sequences[sequence] = Sequence(positions, states)
        return true
    }

    @Synchronized
    fun records(): List<RunRecord> = records.values.toList()

    private fun create(sequence: String, assignment: Assignment): Sequence {
        val states =
            LongArray(assignment.layers.size) { assignment.toyModel.initialState(assignment.layers.first + it) }
        return Sequence(0, states).also { sequences[sequence] = it }
    }

    private fun runItem(item: ItemBody, inputs: LongArray, assignment: Assignment, sequence: Sequence): ResultBody {
        val outputs = LongArray(inputs.size) { assignment.runLayers(sequence.states, inputs[it]) }
        sequence.positions += item.count
        record(item)
        return if (assignment.isLastStage) {
            ResultBody(item.sequence, token = assignment.toyModel.sample(outputs.last()))
        } else {
            ResultBody(item.sequence, activations = outputs.toBase64())
        }
    }

    private fun hasCapacityFor(positions: Int) =
        usedBytes + positions.toLong() * settings.kvBytesPerToken <= settings.kvCapacityBytes

    private fun record(item: ItemBody) {
        val previous = records[item.sequence] ?: RunRecord(item.sequence, 0, 0)
        val endPosition = maxOf(previous.endPosition, item.position + item.count)
        records[item.sequence] = RunRecord(item.sequence, endPosition, previous.positionsRun + item.count)
        if (records.size > MAX_RECORDS) records.remove(records.keys.first())
    }

    private class Sequence(var positions: Int, val states: LongArray)
}
