package io.mimosatrail.bench.run

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.nio.file.Files
import kotlin.io.path.Path
import kotlin.system.exitProcess

private const val DEFAULT_SEED = 20_261_204L

/** Runs one benchmark and prints its figures as a table and as JSON lines. */
internal class BenchCommand(private val benches: List<Bench>) : CliktCommand(name = "bench") {
    private val name by argument(help = "benchmark to run").choice(*benches.map { it.name }.toTypedArray())
    private val quick by option("--quick", help = "finish within 50 s by measuring fewer cases").flag()
    private val seed by option("--seed", help = "seed of the random numbers").long().default(DEFAULT_SEED)
    private val output by option("--output", help = "folder for plots").path().default(Path("bench-results"))

    override fun help(context: Context) =
        "Runs a benchmark.\n\n" + benches.joinToString("\n") { "${it.name}: ${it.description}" }

    override fun run() {
        Files.createDirectories(output)
        val bench = benches.first { it.name == name }
        val figures = bench.run(BenchOptions(quick, seed, output))
        echo(table(figures))
        figures.forEach { echo(json.encodeToString(Figure.serializer(), it)) }
    }

    private companion object {
        val json = Json { encodeDefaults = true }
    }
}

private fun table(figures: List<Figure>): String {
    val rows = figures.map {
        listOf(it.figure, "%.3f".format(it.value), it.unit, it.baseline.text(), it.target.text(), verdict(it))
    }
    val all = listOf(listOf("figure", "value", "unit", "baseline", "target", "verdict")) + rows
    val widths = all.first().indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row ->
        row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
    }
}

private fun Double?.text() = this?.let { "%.3f".format(it) } ?: "-"

private fun verdict(figure: Figure) = when (figure.met) {
    true -> "met"
    false -> "MISSED"
    null -> "-"
}

/** Runs the benchmark given by the arguments. */
fun main(arguments: Array<String>) {
    BenchCommand(allBenches).main(arguments)
    exitProcess(0)
}
