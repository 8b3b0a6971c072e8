package io.mimosatrail.standins.engine

private const val FIRST_TOKEN = 32
private const val TOKEN_COUNT = 95
private const val ODD_1 = -0x61c8864680b583ebL
private const val ODD_2 = -0x4b47d0c5a1a6b4c7L
private const val ODD_3 = 0x2545f4914f6cdd1dL

/**
 * A deterministic model with [layers] layers, whose answers can be worked out from outside.
 *
 * Each layer folds every position into its state (its KV cache) and passes on a mix of both, so that a layer that is
 * left out, run twice or run out of order, or a wrong KV cache, gives other tokens. Token ids are bytes; sampled
 * tokens are printable ASCII characters. There is no end token.
 */
class ToyModel(name: String, version: String, val layers: Int) {
    private val seed = name.fold(version.hashCode().toLong()) { sum, char -> scramble(sum + char.code) }

    /** The answer of the whole model: [maxTokens] tokens that follow [prompt]. */
    fun reference(prompt: List<Int>, maxTokens: Int): List<Int> {
        val states = LongArray(layers) { initialState(it) }
        var token = prompt.map { step(states, it) }.last()
        return List(maxTokens) {
            val sampled = token
            if (it < maxTokens - 1) token = step(states, sampled)
            sampled
        }
    }

    /** [reference] as text. */
    fun referenceText(prompt: String, maxTokens: Int): String {
        val tokens = reference(prompt.encodeToByteArray().map { it.toInt() and 0xff }, maxTokens)
        return tokens.map { it.toChar() }.joinToString("")
    }

    /** State of [layer] before position 0. */
    internal fun initialState(layer: Int): Long = scramble(seed + (layer + 1) * ODD_1)

    /** Input of layer 0 for a token id. */
    internal fun embed(token: Int): Long = scramble(seed xor (token + 1) * ODD_2)

    /** State of [layer] after one more position with input [activation]. */
    internal fun nextState(state: Long, activation: Long, layer: Int): Long =
        scramble(state * ODD_3 + activation + (layer + 1) * ODD_2)

    /** Output of [layer] for input [activation] once its state is [state]. */
    internal fun output(state: Long, activation: Long, layer: Int): Long =
        scramble(activation * ODD_1 + state + (layer + 1) * ODD_3)

    /** Token sampled from the output of the last layer. */
    internal fun sample(activation: Long): Int = FIRST_TOKEN + (activation ushr 1).rem(TOKEN_COUNT).toInt()

    private fun step(states: LongArray, token: Int): Int {
        var activation = embed(token)
        for (layer in states.indices) {
            states[layer] = nextState(states[layer], activation, layer)
            activation = output(states[layer], activation, layer)
        }
        return sample(activation)
    }

    private fun scramble(value: Long): Long {
        val first = (value xor (value ushr 30)) * ODD_2
        val second = (first xor (first ushr 27)) * ODD_3
        return second xor (second ushr 31)
    }
}
