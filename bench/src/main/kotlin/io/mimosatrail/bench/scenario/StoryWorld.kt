package io.mimosatrail.bench.scenario

import io.mimosatrail.bench.fleet.Fleet
import io.mimosatrail.bench.fleet.Member
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.standins.engine.EngineFaults
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.standins.plain.PlainStandin

/** The stand-ins and daemons of one story, by the names that the story gives them. */
internal class StoryWorld(private val scenario: Scenario) : AutoCloseable {
    val fleet = Fleet(scenario.place)
    private val engines = mutableMapOf<String, EngineStandin>()
    private val applications = mutableMapOf<String, PlainStandin>()
    private val members = mutableMapOf<String, Member>()

    /** Starts everything but the spares. */
    suspend fun start() {
        scenario.runners.forEach { startRunner(it) }
        scenario.applications.forEach { application ->
            applications[application.name] = fleet.plain()
            application.sidecars.forEach { startSidecar(it, application) }
        }
        scenario.entries.forEach { members[it] = fleet.entry(it) }
    }

    suspend fun startSpare(name: String) {
        val application = scenario.applications.firstOrNull { name in it.spares } ?: error("no spare $name")
        startSidecar(name, application)
    }

    fun member(name: String): Member = members[name] ?: error("no instance $name")

    fun engine(name: String): EngineStandin = engines[name] ?: error("no runner $name")

    fun application(name: String): PlainStandin = applications[name] ?: error("no application $name")

    /** The runner among [names] whose engine ran the most positions. */
    fun busiest(names: List<String>): String =
        names.maxBy { name -> engine(name).runs.sequences.sumOf { it.positionsRun } }

    /** Ends a process at once, and the engine beside it. */
    fun kill(name: String) {
        fleet.kill(name)
        engines[name]?.faults?.set(EngineFaults(dead = true))
    }

    /** Ends the faults of `store`, `list`, a runner or an application. */
    fun mend(name: String) {
        when (name) {
            "store" -> fleet.store.faults.clear()
            "list" -> fleet.list.faults.clear()
            in engines -> engine(name).faults.clear()
            else -> application(name).faults.clear()
        }
    }

    /** Every record that the applications made. */
    fun records(): List<MadeRecord> = scenario.applications.flatMap { spec ->
        application(spec.name).records.map { record ->
            val body = storyJson.decodeFromString(ReportBody.serializer(), record.body)
            MadeRecord(spec.service, body.report, record.id)
        }
    }

    /** Layers of the whole model. */
    fun layersOf(model: String): Int = scenario.runners.first { it.model == model }.of

    override fun close() = fleet.close()

    private suspend fun startRunner(spec: RunnerSpec) {
        val settings = EngineSettings(
            model = spec.model,
            firstLayer = spec.firstLayer,
            endLayer = spec.endLayer,
            modelLayers = spec.of,
            acceleratorKind = spec.kind,
        )
        val engine = fleet.engine(settings)
        engines[spec.name] = engine
        members[spec.name] = fleet.sidecar(spec.name, spec.service, UpstreamKind.ENGINE, engine.url)
    }

    private suspend fun startSidecar(name: String, spec: ApplicationSpec) {
        members[name] = fleet.sidecar(name, spec.service, UpstreamKind.PLAIN, application(spec.name).url)
    }
}
