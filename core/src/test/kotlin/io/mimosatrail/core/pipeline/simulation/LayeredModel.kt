package io.mimosatrail.core.pipeline.simulation

/** Number of different tokens. */
private const val TOKENS = 50_000L

/**
 * A deterministic model for tests. Every position changes the state of each layer, so that a skipped, repeated or
 * reordered position changes the tokens after it.
 */
object LayeredModel {
    /** The first [tokens] tokens after [prompt], each sampled with offset 0. */
    fun answer(prompt: List<Int>, tokens: Int, layers: Int): List<Int> {
        val states = LongArray(layers) { initial(it) }
        val answer = mutableListOf<Int>()
        var next = prompt.map { step(states, it) }.last()
        repeat(tokens) {
            answer += next
            next = step(states, next)
        }
        return answer
    }

    /** True if each of [tokens] is one of the [sampleChoices] valid tokens after [prompt] and the tokens before it. */
    fun accepts(prompt: List<Int>, tokens: List<Int>, layers: Int, sampleChoices: Int): Boolean {
        val states = LongArray(layers) { initial(it) }
        var next = prompt.map { step(states, it) }.last()
        return tokens.all { token ->
            val allowed = token - next in 0 until sampleChoices
            next = step(states, token)
            allowed
        }
    }

    fun initial(layer: Int): Long = mix(layer + 1L)

    fun embed(token: Int): Long = mix(token + 77L)

    fun sample(activation: Long): Int = activation.mod(TOKENS).toInt()

    /** Runs [layer] for one position, updates its state in [states] at [slot] and returns the activation. */
    fun layer(states: LongArray, slot: Int, layer: Int, activation: Long): Long {
        states[slot] = mix(states[slot] * 31 + activation + layer)
        return mix(activation xor states[slot])
    }

    private fun step(states: LongArray, token: Int): Int =
        sample(states.indices.fold(embed(token)) { activation, layer -> layer(states, layer, layer, activation) })

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }
}
