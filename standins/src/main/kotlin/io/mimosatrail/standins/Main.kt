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
    val port by option("--port", help = "port on the loopback address; 0 takes any").int().default(0)

    abstract fun serve(): Standin

    override fun run() {
        val standin = serve()
        echo(standin.url)
        Runtime.getRuntime().addShutdownHook(Thread(standin::stop))
        Thread.currentThread().join()
    }
}

private class StoreCommand : ServeCommand("store") {
    override fun serve() = StoreStandin(port).start()
}

private class InstancesCommand : ServeCommand("instances") {
    val lag by option("--lag", help = "lag in milliseconds").long().default(0)

    override fun serve() = InstanceListStandin(port, lag).start()
}

private class EngineCommand : ServeCommand("engine") {
    val model by option("--model").default("inspection")
    val version by option("--version").default("1")
    val first by option("--first-layer").int().default(0)
    val end by option("--end-layer").int().default(8)
    val layers by option("--model-layers").int().default(8)
    val kind by option("--kind", help = EngineTiming.kinds.joinToString()).default("gpu-m")
    val ignoresFencing by option("--ignores-fencing").flag()

    override fun serve(): Standin {
        val settings = EngineSettings(
            model = model,
            version = version,
            firstLayer = first,
            endLayer = end,
            modelLayers = layers,
            kind = kind,
            checksFencing = !ignoresFencing,
        )
        return EngineStandin(settings, port).start()
    }
}

private class PlainCommand : ServeCommand("plain") {
    val work by option("--work", help = "time of a call in milliseconds").long().default(0)

    override fun serve() = PlainStandin(port, work).start()
}

private class WeightsCommand : ServeCommand("weights") {
    override fun serve() = WeightStandin(port).start()
}

/** Serves one stand-in in a process of its own and prints its address. */
fun main(arguments: Array<String>) {
    System.setProperty("logback.configurationFile", "standins-logback.xml")
    StandinsCommand()
        .subcommands(StoreCommand(), InstancesCommand(), EngineCommand(), PlainCommand(), WeightsCommand())
        .main(arguments)
}
