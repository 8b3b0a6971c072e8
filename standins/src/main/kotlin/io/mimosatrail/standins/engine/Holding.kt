package io.mimosatrail.standins.engine

/** What an engine holds now. */
internal class Holding(
    val model: String,
    val version: String,
    val layers: LayersBody,
    val modelLayers: Int,
    val adapters: List<String>,
    val role: String,
) {
    val toyModel = ToyModel(model, version, modelLayers)

    val isFirst: Boolean get() = layers.first == 0

    val isLast: Boolean get() = layers.end == modelLayers

    /** Inputs of the first layer held, or null where the item is not well formed. */
    fun inputsOf(item: ItemBody): LongArray? {
        val inputs = if (isFirst) {
            item.tokens?.let { tokens -> LongArray(tokens.size) { toyModel.embed(tokens[it]) } }
        } else {
            item.activations?.toLongs()
        }
        return inputs?.takeIf { it.size == item.count && item.count > 0 && item.position >= 0 }
    }

    /** Runs every layer held for one position: changes [states] and answers the output. */
    fun runLayers(states: LongArray, input: Long): Long {
        var activation = input
        for (i in states.indices) {
            val layer = layers.first + i
            states[i] = toyModel.nextState(states[i], activation, layer)
            activation = toyModel.output(states[i], activation, layer)
        }
        return activation
    }

    /** True where [other] needs the same weights. */
    fun hasWeightsOf(other: Holding): Boolean =
        model == other.model && version == other.version && layers == other.layers && adapters == other.adapters
}
