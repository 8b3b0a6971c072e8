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

/** Drives traffic through processes that `bin/soak` started, and checks the promises from outside. */
internal class SoakCommand : CliktCommand(name = "soak") {
    private val layout by option("--layout", help = "file that tells the processes").path().required()
    private val faults by option("--faults", help = "file in which the script notes its faults").path().required()
    private val ready by option("--ready", help = "file to create once traffic starts").path().required()
    private val stopsOnly by option("--stops-only", help = "the script makes planned stops only").flag()
    private val seconds by option("--seconds", help = "length of the traffic").int().default(180)
    private val seed by option("--seed", help = "seed of the traffic").long().default(1)

    override fun help(context: Context) = "Drives traffic through the processes of a soak run."

    override fun run() {
        val held = runBlocking { SoakRun(readLayout(layout), seconds, seed, faults, ready, stopsOnly).run() }
        if (!held) throw ProgramResult(1)
    }
}

/** Runs the traffic and checks of a soak run. */
fun main(arguments: Array<String>) {
    SoakCommand().main(arguments)
    exitProcess(0)
}
