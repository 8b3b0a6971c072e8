package io.mimosatrail.bench.demo

import com.github.ajalt.clikt.core.parse
import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.fleet.Fleet
import io.mimosatrail.bench.fleet.FleetInstance
import io.mimosatrail.cli.mimosatrail
import io.mimosatrail.daemon.settings.UpstreamKind
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.standins.plain.PlainStandin
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.http4k.core.Method
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val MODEL = "inspection-12b"
private const val MODEL_LAYERS = 48
private const val CALLER_KEY = "vaxelvakt-demo-key"
private const val TICKET = "samples/vaxelvakt.yaml"
private const val SHORT_ANSWER_TOKENS = 40
private const val LONG_ANSWER_TOKENS = 200
private const val PROMPT = "Heater log of switch 12 at Kiruna: which heater needs attention?"
private val stepTimeout = 20.seconds
private val pollInterval = 20.milliseconds

/**
 * Runs the main request paths in one JVM and checks each result: a change ticket, an answer streamed over three stages,
 * a defect report and a planned stop.
 */
internal class Demo(private val report: DemoReport, private val root: String) {
    private val fleet = Fleet("kiruna")
    private val caller = Caller(CALLER_KEY)
    private val engines = mutableListOf<EngineStandin>()
    private lateinit var defects: PlainStandin
    private lateinit var entries: List<FleetInstance>

    suspend fun run() {
        fleet.use {
            caller.use {
                startAll()
                submitTicket()
                streamAnswer()
                reportDefect()
                stopWhileStreaming()
            }
        }
    }

    private suspend fun startAll() {
        report.step("Start the stand-ins, two entries and the sidecars")
        listOf("gpu-l", "gpu-m", "npu").forEachIndexed { stage, kind -> startStage(stage, kind) }
        defects = fleet.startPlainService()
        fleet.startSidecar("defects-1", "defects", UpstreamKind.PLAIN, defects.url)
        fleet.startSidecar("defects-2", "defects", UpstreamKind.PLAIN, defects.url)
        entries = listOf(fleet.startEntry("entry-1"), fleet.startEntry("entry-2"))
        report.info("running: ${fleet.running.joinToString { it.name }}")
    }

    private suspend fun startStage(stage: Int, kind: String) {
        val size = MODEL_LAYERS / 3
        val settings = EngineSettings(
            model = MODEL,
            firstLayer = stage * size,
            endLayer = (stage + 1) * size,
            modelLayers = MODEL_LAYERS,
            acceleratorKind = kind,
        )
        val engine = fleet.startEngine(settings)
        engines += engine
        fleet.startSidecar("runner-${stage + 1}", "inspection", UpstreamKind.ENGINE, engine.url)
        report.info("runner-${stage + 1}: layers ${settings.firstLayer}..<${settings.endLayer} on $kind")
    }

    private suspend fun submitTicket() {
        report.step("Submit a change ticket: mimosatrail ticket submit $TICKET")
        mimosatrail().parse(listOf("ticket", "submit", "$root/$TICKET", "--store", fleet.store.url))
        val isApplied = eventually { fleet.running.all { it.daemon.status().revision >= 1 } }
        report.check("every process has applied the ticket", isApplied)
        val areEntriesReady = eventually {
            val sidecars = fleet.running.size - entries.size
            entries.map { it.daemon.status() }.all { it.ready && it.upstreams.size == sidecars }
        }
        report.check("both entries are ready and know every upstream", areEntriesReady)
    }

    private suspend fun streamAnswer() {
        report.step("Stream an answer through three stages: POST /v1/completions")
        val started = TimeSource.Monotonic.markNow()
        var pieces = 0
        val answer = caller.stream(entries[0], PROMPT, SHORT_ANSWER_TOKENS, MODEL) { pieces++ }
        report.info("\"${answer.text}\" in ${started.elapsedNow()}")
        report.check(
            "the stream ended with its finish event",
            answer.isFinished,
            answer.problem ?: "status ${answer.status}",
        )
        report.check("the text arrived in several events", pieces > SHORT_ANSWER_TOKENS / 2, "$pieces events")
        val expected = engines[0].toyModel.generateText(PROMPT, SHORT_ANSWER_TOKENS)
        val isExpected = answer.text == expected
        report.check("the answer equals the model's reference answer, so every layer ran in order", isExpected)
        val ranOnce = engines.all { engine -> engine.runs.sequences.all { it.positionsRun == it.endPosition.toLong() } }
        report.check("every engine ran every position exactly once", ranOnce)
    }

    private fun reportDefect() {
        report.step("Record a defect report, sent three times through two entries: POST /services/defects/reports")
        val body = """{"switch":"12","fault":"heater element 3 is cold"}"""
        val answers = listOf(0, 1, 0).map { entry ->
            caller.call(entries[entry], Method.POST, "/services/defects/reports", body, "report-12-heater-3")
                .use { Reply(it.status.code, it.bodyString(), it.header("Idempotency-Replayed")) }
        }
        answers.forEach { report.info("answer ${it.status} ${it.body} replayed=${it.replayed}") }
        report.check("each of the three answers has status 201", answers.all { it.status == 201 })
        report.check("all three answers are the same", answers.map { it.body }.distinct().size == 1)
        report.check("the application holds one record", defects.records.size == 1, "${defects.records.size} records")
        val lookup = caller.call(entries[1], Method.GET, "/services/defects/status/switch-12")
        lookup.use {
            report.check("a status lookup is answered with status 200", it.status.code == 200, it.bodyString())
        }
    }

    private suspend fun stopWhileStreaming() = coroutineScope {
        report.step("Run a planned stop of an entry while it streams an answer")
        val started = CompletableDeferred<Unit>()
        val stream = async(Dispatchers.IO) {
            caller.stream(entries[0], PROMPT, LONG_ANSWER_TOKENS, MODEL) { started.complete(Unit) }
        }
        withTimeoutOrNull(stepTimeout) { started.await() }
        val stop = async(Dispatchers.Default) { fleet.stop("entry-1") }
        val isRefusing = eventually {
            caller.call(entries[0], Method.GET, "/services/defects/status/switch-12").use { it.status.code == 503 }
        }
        report.check("the stopping entry refuses new requests with status 503", isRefusing)
        val answer = stream.await()
        val expected = engines[0].toyModel.generateText(PROMPT, LONG_ANSWER_TOKENS)
        report.check("the stream in flight was completed", answer.isFinished && answer.text == expected)
        report.check("the entry then stopped", withTimeoutOrNull(stepTimeout) { stop.await() } != null)
        val other = caller.stream(entries[1], PROMPT, SHORT_ANSWER_TOKENS, MODEL)
        report.check("the other entry still serves requests", other.isFinished)
    }

    private suspend fun eventually(condition: () -> Boolean): Boolean = withTimeoutOrNull(stepTimeout) {
        while (!runCatching(condition).getOrDefault(false)) delay(pollInterval)
        true
    } ?: false

    private class Reply(val status: Int, val body: String, val replayed: String?)
}
