package io.mimosatrail.bench.scenario

import io.mimosatrail.bench.fleet.Fleet
import io.mimosatrail.bench.fleet.FleetInstance
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.standins.engine.EngineFaults
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.standins.plain.PlainStandin

/** The stand-ins and daemons of one scenario, looked up by their names in the scenario. */
internal class ScenarioEnvironment(private val scenario: Scenario) : AutoCloseable {
    val fleet = Fleet(scenario.place)
    private val engines = mutableMapOf<String, EngineStandin>()
    private val applications = mutableMapOf<String, PlainStandin>()
    private val instances = mutableMapOf<String, FleetInstance>()

    /** Starts everything except the spare sidecars. */
    suspend fun start() {
        scenario.runners.forEach { startRunner(it) }
        scenario.applications.forEach { application ->
            applications[application.name] = fleet.startPlainService()
            application.sidecars.forEach { startSidecar(it, application) }
        }
        scenario.entries.forEach { instances[it] = fleet.startEntry(it) }
    }

    suspend fun startSpare(name: String) {
        val application = scenario.applications.firstOrNull { name in it.spares } ?: error("no spare sidecar $name")
        startSidecar(name, application)
    }

    fun instance(name: String): FleetInstance = instances[name] ?: error("no instance $name")

    fun engine(name: String): EngineStandin = engines[name] ?: error("no runner $name")

    fun application(name: String): PlainStandin = applications[name] ?: error("no application $name")

    /** The runner among [names] whose engine has run the most positions. */
    fun busiest(names: List<String>): String =
        names.maxBy { name -> engine(name).runs.sequences.sumOf { it.positionsRun } }

    /** Kills the instance and the engine beside it, if it has one. */
    fun kill(name: String) {
        fleet.kill(name)
        engines[name]?.faults?.set(EngineFaults(dead = true))
    }

    /** Clears the faults of `store`, `list`, a runner's engine or an application. */
    fun clearFaults(name: String) {
        when (name) {
            "store" -> fleet.store.faults.clear()
            "list" -> fleet.list.faults.clear()
            in engines -> engine(name).faults.clear()
            else -> application(name).faults.clear()
        }
    }

    /** Every record that the applications created. */
    fun records(): List<ApplicationRecord> = scenario.applications.flatMap { spec ->
        application(spec.name).records.map { record ->
            val body = lenientJson.decodeFromString(ReportBody.serializer(), record.body)
            ApplicationRecord(spec.service, body.key, record.id)
        }
    }

    /** Number of layers of the whole model. */
    fun layersOf(model: String): Int = scenario.runners.first { it.model == model }.modelLayers

    override fun close() = fleet.close()

    private suspend fun startRunner(spec: RunnerSpec) {
        val settings = EngineSettings(
            model = spec.model,
            firstLayer = spec.firstLayer,
            endLayer = spec.endLayer,
            modelLayers = spec.modelLayers,
            acceleratorKind = spec.kind,
        )
        val engine = fleet.startEngine(settings)
        engines[spec.name] = engine
        instances[spec.name] = fleet.startSidecar(spec.name, spec.service, UpstreamKind.ENGINE, engine.url)
    }

    private suspend fun startSidecar(name: String, spec: ApplicationSpec) {
        instances[name] = fleet.startSidecar(name, spec.service, UpstreamKind.PLAIN, application(spec.name).url)
    }
}
