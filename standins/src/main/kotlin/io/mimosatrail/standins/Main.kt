package io.mimosatrail.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.standins.engine.EngineTiming
import io.mimosatrail.standins.instances.InstanceListStandin
import io.mimosatrail.standins.plain.PlainStandin
import io.mimosatrail.standins.store.StoreStandin
import io.mimosatrail.standins.weights.WeightStandin

private class StandinsCommand : CliktCommand(name = "standins") {
    override fun run() = Unit
}

private abstract class ServeCommand(name: String) : CliktCommand(name) {
    val port by option("--port", help = "port on the loopback address; 0 selects a free port").int().default(0)

    abstract fun startStandin(): Standin

    override fun run() {
        val standin = startStandin()
        echo(standin.url)
        Runtime.getRuntime().addShutdownHook(Thread(standin::stop))
        Thread.currentThread().join()
    }
}

private class StoreCommand : ServeCommand("store") {
    override fun startStandin() = StoreStandin(port).start()
}

private class InstancesCommand : ServeCommand("instances") {
    val lagMillis by option("--lag", help = "time until a change shows in the list, in milliseconds").long().default(0)

    override fun startStandin() = InstanceListStandin(port, lagMillis).start()
}

private class EngineCommand : ServeCommand("engine") {
    val model by option("--model").default("inspection")
    val version by option("--version").default("1")
    val firstLayer by option("--first-layer").int().default(0)
    val endLayer by option("--end-layer").int().default(8)
    val modelLayers by option("--model-layers").int().default(8)
    val acceleratorKind by option("--kind", help = EngineTiming.kinds.joinToString()).default("gpu-m")
    val ignoresFencing by option("--ignores-fencing").flag()

    override fun startStandin(): Standin {
        val settings = EngineSettings(
            model = model,
            version = version,
            firstLayer = firstLayer,
            endLayer = endLayer,
            modelLayers = modelLayers,
            acceleratorKind = acceleratorKind,
            checksFencing = !ignoresFencing,
        )
        return EngineStandin(settings, port).start()
    }
}

private class PlainCommand : ServeCommand("plain") {
    val workMillis by option("--work", help = "duration of each call in milliseconds").long().default(0)

    override fun startStandin() = PlainStandin(port, workMillis).start()
}

private class WeightsCommand : ServeCommand("weights") {
    override fun startStandin() = WeightStandin(port).start()
}

/** Runs one stand-in until the process ends and prints its base address. */
fun main(arguments: Array<String>) {
    System.setProperty("logback.configurationFile", "standins-logback.xml")
    StandinsCommand()
        .subcommands(StoreCommand(), InstancesCommand(), EngineCommand(), PlainCommand(), WeightsCommand())
        .main(arguments)
}
