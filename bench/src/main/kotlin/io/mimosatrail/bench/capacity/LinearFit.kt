package io.mimosatrail.bench.capacity

/** One measured point: cost [y] at size [x]. */
internal data class Point(val x: Double, val y: Double)

/** Straight line fitted to measured points. [r2] is the coefficient of determination, 1 for a perfect fit. */
internal data class LinearFit(val slope: Double, val intercept: Double, val r2: Double)

/** Least-squares line through the points. At least two different sizes are required. */
internal fun List<Point>.fit(): LinearFit {
    val meanX = map { it.x }.average()
    val meanY = map { it.y }.average()
    val covariance = sumOf { (it.x - meanX) * (it.y - meanY) }
    val slope = covariance / sumOf { (it.x - meanX) * (it.x - meanX) }
    val intercept = meanY - slope * meanX
    val residual = sumOf { square(it.y - intercept - slope * it.x) }
    val total = sumOf { square(it.y - meanY) }
    return LinearFit(slope, intercept, if (total == 0.0) 1.0 else 1 - residual / total)
}

private fun square(value: Double) = value * value
