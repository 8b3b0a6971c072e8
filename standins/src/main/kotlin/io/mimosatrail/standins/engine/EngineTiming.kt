package io.mimosatrail.standins.engine

private const val NANOS_PER_MICRO = 1_000L

/**
 * Duration of one batch step: [stepMicros] plus, for each layer, [layerMicros] and [positionNanos] for each position.
 */
data class EngineTiming(val stepMicros: Long, val layerMicros: Long, val positionNanos: Long) {
    /** Duration in nanoseconds of a step that runs [positions] positions through [layers] layers. */
    fun stepNanos(layers: Int, positions: Int): Long =
        stepMicros * NANOS_PER_MICRO + layers * (layerMicros * NANOS_PER_MICRO + positions * positionNanos)

    companion object {
        /** Steps that take no time, for tests. */
        val INSTANT = EngineTiming(0, 0, 0)

        private val byKind = mapOf(
            "gpu-xl" to EngineTiming(200, 60, 500),
            "gpu-l" to EngineTiming(250, 100, 900),
            "gpu-m" to EngineTiming(300, 180, 2_000),
            "gpu-s" to EngineTiming(400, 320, 5_000),
            "npu" to EngineTiming(600, 240, 3_500),
            "cpu" to EngineTiming(800, 1_000, 20_000),
        )

        /** Accelerator kinds accepted by [of]. */
        val kinds: List<String> get() = byKind.keys.toList()

        /** Timing of the accelerator [kind]. Throws [IllegalArgumentException] if it is not one of [kinds]. */
        fun of(kind: String): EngineTiming = requireNotNull(byKind[kind]) { "unknown accelerator kind: $kind" }
    }
}
