package io.mimosatrail.standins.engine

/** What an engine serves: [layers] of a model version with [modelLayers] layers in total, adapters and a role. */
internal class Assignment(
    val model: String,
    val version: String,
    val layers: LayersBody,
    val modelLayers: Int,
    val adapters: List<String>,
    val role: String,
) {
    val toyModel = ToyModel(model, version, modelLayers)

    val isFirstStage: Boolean get() = layers.first == 0

    val isLastStage: Boolean get() = layers.end == modelLayers

    /** Inputs of the first assigned layer, one for each position. Null if the item is malformed. */
    fun inputsOf(item: ItemBody): LongArray? {
        val inputs = if (isFirstStage) {
            item.tokens?.let { tokens -> LongArray(tokens.size) { toyModel.embed(tokens[it]) } }
        } else {
            item.activations?.toLongs()
        }
        return inputs?.takeIf { it.size == item.count && item.count > 0 && item.position >= 0 }
    }

    /** Runs all assigned layers for one position. Updates [states] and returns the output of the last layer. */
    fun runLayers(states: LongArray, input: Long): Long {
        var activation = input
        for (i in states.indices) {
            val layer = layers.first + i
            states[i] = toyModel.nextState(states[i], activation, layer)
            activation = toyModel.output(states[i], activation, layer)
        }
        return activation
    }

    /** Whether [other] needs the same weights, so that no load is necessary. */
    fun hasSameWeightsAs(other: Assignment): Boolean =
        model == other.model && version == other.version && layers == other.layers && adapters == other.adapters
}
