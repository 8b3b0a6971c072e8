package io.mimosatrail.standins.engine

private const val MAX_RECORDS = 20_000

/** KV caches of the sequences that an engine holds, and the count of what it ran. */
internal class SequenceTable(private val settings: EngineSettings) {
    private val sequences = HashMap<String, Sequence>()
    private val records = LinkedHashMap<String, RunRecord>()

    /** Bytes of KV cache in use. */
    @get:Synchronized
    val usedBytes: Long get() = sequences.values.sumOf { it.positions.toLong() } * settings.kvBytesPerToken

    /** Runs the layers of [holding] for one item whose inputs are [inputs]. */
    @Synchronized
    fun run(item: ItemBody, inputs: LongArray, holding: Holding): ResultBody {
        val held = sequences[item.sequence]
        return when {
            held == null && item.position > 0 -> ResultBody(item.sequence, error = "unknown-sequence")
            held != null && held.positions != item.position ->
                ResultBody(item.sequence, error = "position-mismatch", held = held.positions)
            !hasRoomFor(item.count) -> ResultBody(item.sequence, error = "out-of-memory")
            else -> step(item, inputs, holding, held ?: open(item.sequence, holding))
        }
    }

    @Synchronized
    fun free(sequence: String) {
        sequences.remove(sequence)
    }

    @Synchronized
    fun clear() = sequences.clear()

    @Synchronized
    fun export(sequence: String): KvBody? = sequences[sequence]?.let { KvBody(it.positions, it.states.toBase64()) }

    /** Puts an exported KV cache in place; false where there is no room for it. */
    @Synchronized
    fun import(sequence: String, positions: Int, states: LongArray): Boolean {
        sequences.remove(sequence)
        if (!hasRoomFor(positions)) return false
        sequences[sequence] = Sequence(positions, states)
        return true
    }

    @Synchronized
    fun records(): List<RunRecord> = records.values.toList()

    private fun open(sequence: String, holding: Holding): Sequence {
        val states = LongArray(holding.layers.size) { holding.toyModel.initialState(holding.layers.first + it) }
        return Sequence(0, states).also { sequences[sequence] = it }
    }

    private fun step(item: ItemBody, inputs: LongArray, holding: Holding, sequence: Sequence): ResultBody {
        val outputs = LongArray(inputs.size) { holding.runLayers(sequence.states, inputs[it]) }
        sequence.positions += item.count
        record(item)
        return if (holding.isLast) {
            ResultBody(item.sequence, token = holding.toyModel.sample(outputs.last()))
        } else {
            ResultBody(item.sequence, activations = outputs.toBase64())
        }
    }

    private fun hasRoomFor(positions: Int) =
        usedBytes + positions.toLong() * settings.kvBytesPerToken <= settings.kvCapacityBytes

    private fun record(item: ItemBody) {
        val before = records[item.sequence] ?: RunRecord(item.sequence, 0, 0)
        val reached = maxOf(before.positions, item.position + item.count)
        records[item.sequence] = RunRecord(item.sequence, reached, before.runs + item.count)
        if (records.size > MAX_RECORDS) records.remove(records.keys.first())
    }

    private class Sequence(var positions: Int, val states: LongArray)
}
