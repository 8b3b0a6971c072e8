package io.mimosatrail.standins.engine

private const val FIRST_TOKEN = 32
private const val TOKEN_COUNT = 95

// The multipliers are odd, so that a multiplication modulo 2^64 is invertible.
private const val MULTIPLIER_1 = -0x61c8864680b583ebL
private const val MULTIPLIER_2 = -0x4b47d0c5a1a6b4c7L
private const val MULTIPLIER_3 = 0x2545f4914f6cdd1dL

/**
 * A deterministic model with [layers] layers. Tests compute the expected output with [generate].
 *
 * Each layer hashes every position into its state (its KV cache) and outputs a hash of the state and its input. A wrong
 * KV cache and a layer that is skipped, run twice or run out of order therefore change the tokens. Token ids are bytes;
 * sampled tokens are printable ASCII characters. There is no end token.
 */
class ToyModel(name: String, version: String, val layers: Int) {
    private val seed = name.fold(version.hashCode().toLong()) { sum, char -> hash(sum + char.code) }

    /** Runs the whole model. Returns the [maxTokens] tokens that follow [prompt], which must not be empty. */
    fun generate(prompt: List<Int>, maxTokens: Int): List<Int> {
        val states = LongArray(layers) { initialState(it) }
        var token = prompt.map { step(states, it) }.last()
        return List(maxTokens) {
            val sampled = token
            if (it < maxTokens - 1) token = step(states, sampled)
            sampled
        }
    }

    /** [generate] for a prompt and output as text. */
    fun generateText(prompt: String, maxTokens: Int): String {
        val tokens = generate(prompt.encodeToByteArray().map { it.toInt() and 0xff }, maxTokens)
        return tokens.map { it.toChar() }.joinToString("")
    }

    /** State of [layer] before position 0. */
    internal fun initialState(layer: Int): Long = hash(seed + (layer + 1) * MULTIPLIER_1)

    /** Input of layer 0 for a token id. */
    internal fun embed(token: Int): Long = hash(seed xor (token + 1) * MULTIPLIER_2)

    /** State of [layer] after [state] and one more position with input [activation]. */
    internal fun nextState(state: Long, activation: Long, layer: Int): Long =
        hash(state * MULTIPLIER_3 + activation + (layer + 1) * MULTIPLIER_2)

    /** Output of [layer] for input [activation]. [state] already includes this position. */
    internal fun output(state: Long, activation: Long, layer: Int): Long =
        hash(activation * MULTIPLIER_1 + state + (layer + 1) * MULTIPLIER_3)

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

    private fun hash(value: Long): Long {
        val first = (value xor (value ushr 30)) * MULTIPLIER_2
        val second = (first xor (first ushr 27)) * MULTIPLIER_3
        return second xor (second ushr 31)
    }
}
