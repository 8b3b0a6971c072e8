package io.mimosatrail.core.pipeline.simulation

private const val TOKENS = 50_000L

/** A deterministic model: every position changes the state of each layer, so that any slip changes later tokens. */
object LayeredModel {
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

    /** True where each of [tokens] may follow [prompt] and the tokens before it, at a given [spread] of sampling. */
    fun accepts(prompt: List<Int>, tokens: List<Int>, layers: Int, spread: Int): Boolean {
        val states = LongArray(layers) { initial(it) }
        var next = prompt.map { step(states, it) }.last()
        return tokens.all { token ->
            val allowed = token - next in 0 until spread
            next = step(states, token)
            allowed
        }
    }

    fun initial(layer: Int): Long = mix(layer + 1L)

    fun embed(token: Int): Long = mix(token + 77L)

    fun sample(activation: Long): Int = activation.mod(TOKENS).toInt()

    /** Runs [layer] for one position; the new state stands in [states] at [slot]. */
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
