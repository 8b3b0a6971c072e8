package io.mimosatrail.bench.capacity

/** One measured point: cost [y] at size [x]. */
internal data class Point(val x: Double, val y: Double)

/** Straight line through measured points; [r2] is 1 for a perfect fit. */
internal data class Slope(val perUnit: Double, val base: Double, val r2: Double)

/** Least-squares line through the points. */
internal fun List<Point>.fit(): Slope {
    val meanX = map { it.x }.average()
    val meanY = map { it.y }.average()
    val covariance = sumOf { (it.x - meanX) * (it.y - meanY) }
    val perUnit = covariance / sumOf { (it.x - meanX) * (it.x - meanX) }
    val base = meanY - perUnit * meanX
    val residual = sumOf { square(it.y - base - perUnit * it.x) }
    val total = sumOf { square(it.y - meanY) }
    return Slope(perUnit, base, if (total == 0.0) 1.0 else 1 - residual / total)
}

private fun square(value: Double) = value * value
