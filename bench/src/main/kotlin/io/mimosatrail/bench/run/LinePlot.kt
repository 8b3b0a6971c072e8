package io.mimosatrail.bench.run

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Path

/** A line plot, saved as PNG. [x] and [y] are the titles of the axes. */
internal class LinePlot(title: String, x: String, y: String) {
    private val chart: XYChart =
        XYChartBuilder().width(900).height(520).title(title).xAxisTitle(x).yAxisTitle(y).build()

    init {
        chart.styler.yAxisMin = 0.0
    }

    /** Adds a line through the points given by [x] and [y]. */
    fun line(name: String, x: List<Double>, y: List<Double>): LinePlot {
        chart.addSeries(name, x.toDoubleArray(), y.toDoubleArray()).marker = SeriesMarkers.NONE
        return this
    }

    /** Writes the plot to `name.png` in [folder] and prints the path. */
    fun save(folder: Path, name: String) {
        val file = folder.resolve("$name.png")
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)
        println("plot: $file")
    }
}
