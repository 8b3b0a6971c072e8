package io.mimosatrail.bench.capacity

import io.mimosatrail.bench.run.Figure

/** [cost] in [unit] at each of [sizes], the number of what [per] names, measured after [warmUps] unmeasured runs. */
internal class Series(
    val name: String,
    val unit: String,
    val per: String,
    val sizes: List<Int>,
    val warmUps: Int = 0,
    val cost: (Int) -> Double,
) {
    /** Measures every point and returns the slope, the intercept and the R² of the fitted line. */
    fun measure(seed: Long): List<Figure> {
        repeat(warmUps) { cost(sizes.last()) }
        val points = sizes.map { Point(it.toDouble(), cost(it)) }
        val summary = points.joinToString { "%.0f: %.3f".format(it.x, it.y) }
        println("$name, $unit by $per: $summary")
        val line = points.fit()
        return listOf(
            figure("$name per $per", unit, line.slope, seed),
            figure("$name, base", unit, line.intercept, seed),
            figure("$name, fit", "R2", line.r2, seed),
        )
    }

    private fun figure(label: String, unit: String, value: Double, seed: Long) =
        Figure(bench = "capacity", figure = label, unit = unit, value = value, seed = seed)
}
