package io.mimosatrail.bench.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/**
 * Sends traffic to the processes that `bin/soak` started, and checks the invariants from what callers receive and what
 * the application recorded.
 */
internal class SoakCommand : CliktCommand(name = "soak") {
    private val layout by option("--layout", help = "YAML file that describes the processes").path().required()
    private val faults by option(
        "--faults",
        help = "file to which the script appends the faults it injects",
    ).path().required()
    private val ready by option("--ready", help = "file to create when the traffic starts").path().required()
    private val stopsOnly by option(
        "--stops-only",
        help = "the script only makes planned stops, so no request may be cut",
    ).flag()
    private val seconds by option("--seconds", help = "duration of the traffic in seconds").int().default(180)
    private val seed by option("--seed", help = "seed of the random traffic").long().default(1)

    override fun help(context: Context) = "Sends traffic to the processes of a soak run and checks the invariants."

    override fun run() {
        val hasPassed = runBlocking { SoakRun(readLayout(layout), seconds, seed, faults, ready, stopsOnly).run() }
        if (!hasPassed) throw ProgramResult(1)
    }
}

/** Runs the traffic and checks of a soak run. */
fun main(arguments: Array<String>) {
    SoakCommand().main(arguments)
    exitProcess(0)
}
