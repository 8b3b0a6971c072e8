package io.mimosatrail.bench.scenario

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.standins.engine.EngineFaults
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longest wait of one step; only a failed story waits this long. */
private val patience = 60.seconds
private val poll = 10.milliseconds
private val resend = 500.milliseconds

/** A step whose expectation did not hold. */
class StepFailed(step: ScenarioStep, seen: String) : AssertionError("$step: $seen")

/** Runs one story; [root] is the folder that holds the ticket files. */
class ScenarioRun(private val scenario: Scenario, private val root: Path) {
    private val world = StoryWorld(scenario)
    private val ledger = Ledger()
    private val caller = Caller(scenario.key)
    private val requests = Requests(caller, ledger)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val tracked = mutableMapOf<String, TrackedRequest>()
    private val stops = mutableMapOf<String, Job>()

    /** Runs every step and answers the promises that were broken; throws [StepFailed] at a failed expectation. */
    suspend fun run(): List<Violation> = try {
        world.use { runIn(it) }
    } finally {
        scope.cancel()
        caller.close()
    }

    private suspend fun runIn(world: StoryWorld): List<Violation> {
        world.start()
        TicketDesk(world.fleet.store.url).use { desk ->
            val told = desk.submit(root.resolve(scenario.ticket).readText())
            check(told.outcome == ToldOutcome.ACCEPTED) { "the first ticket was not accepted: $told" }
            awaitKnown()
            scenario.steps.forEach { run(it, desk) }
        }
        tracked.values.forEach { withTimeoutOrNull(patience) { it.told.await() } }
        return ledger.violations(world.records())
    }

    /** Waits until the ticket is in force and each entry is ready and knows every upstream: a settled state. */
    private suspend fun awaitKnown() {
        val sidecars = world.fleet.running.size - scenario.entries.size
        val settled = eventually {
            val entries = scenario.entries.map { world.member(it).daemon.status() }
            val informed = entries.all { it.ready && it.upstreams.size == sidecars }
            informed && world.fleet.running.all { it.daemon.status().revision > 0 }
        }
        check(settled) { "the ticket and all upstreams are not known everywhere" }
    }

    private suspend fun run(step: ScenarioStep, desk: TicketDesk) {
        when (step) {
            is ScenarioStep.Submit -> track(step.name) { desk.submit(step.ticket) }
            is ScenarioStep.Ask -> ask(step)
            is ScenarioStep.Report -> track(step.name) { report(step) }
            is ScenarioStep.LookUp -> track(step.name) { requests.lookUp(world.member(step.at).url, step) }
            is ScenarioStep.AwaitTokens -> awaitTokens(step)
            is ScenarioStep.AwaitRecords -> await(step) { world.application(step.at).records.size >= step.count }
            is ScenarioStep.AwaitRevision ->
                await(step) { world.fleet.running.all { it.daemon.status().revision >= step.revision } }
            is ScenarioStep.AwaitStopped -> await(step) { stops.getValue(step.instance).isCompleted }
            is ScenarioStep.Expect -> expect(step)
            is ScenarioStep.ExpectOne -> expectOne(step)
            is ScenarioStep.ExpectRecords -> same(step, world.application(step.at).records.size, step.count)
            is ScenarioStep.ExpectSequences -> same(step, world.engine(step.at).runs.sequences.size, step.count)
            else -> disturb(step)
        }
    }

    private suspend fun disturb(step: ScenarioStep) {
        when (step) {
            is ScenarioStep.Start -> world.startSpare(step.instance)
            is ScenarioStep.Stop -> stops[step.instance] = scope.launch { world.fleet.stop(step.instance) }
            is ScenarioStep.Kill -> world.kill(step.instance)
            is ScenarioStep.KillBusy -> world.kill(world.busiest(step.among))
            is ScenarioStep.FreezeBusy -> world.engine(
                world.busiest(step.among),
            ).faults.set(EngineFaults(frozen = true))
            is ScenarioStep.MarkLeaving -> world.fleet.markLeaving(step.instance)
            is ScenarioStep.BreakStore -> world.fleet.store.faults.set(step.faults)
            is ScenarioStep.BreakList -> world.fleet.list.faults.set(step.faults)
            is ScenarioStep.BreakRunner -> world.engine(step.at).faults.set(step.faults)
            is ScenarioStep.BreakApplication -> world.application(step.at).faults.set(step.faults)
            is ScenarioStep.Mend -> world.mend(step.at)
            else -> error("no such step: $step")
        }
    }

    private suspend fun awaitTokens(step: ScenarioStep.AwaitTokens) {
        val request = request(step.of)
        val arrived = eventually { request.tokens.get() >= step.count || request.told.isCompleted }
        if (request.tokens.get() >= step.count) return
        val end = if (arrived) "told ${request.told.await()}" else "no end in $patience"
        throw StepFailed(step, "${request.tokens.get()} tokens, $end")
    }

    private fun ask(step: ScenarioStep.Ask) {
        val entry = world.member(step.at).url
        val tokens = AtomicInteger()
        val told = scope.async { requests.ask(entry, step, world.layersOf(step.model)) { tokens.addAndGet(it.length) } }
        tracked[step.name] = TrackedRequest(told, tokens)
    }

    private suspend fun report(step: ScenarioStep.Report): Told {
        val entry = world.member(step.at).url
        var told = requests.report(entry, step)
        while (step.untilRun && told.outcome == ToldOutcome.NOT_RUN) {
            delay(resend)
            told = requests.report(entry, step)
        }
        return told
    }

    private fun track(name: String, send: suspend () -> Told) {
        tracked[name] = TrackedRequest(scope.async { send() })
    }

    private fun request(name: String) = tracked[name] ?: error("no request $name")

    private suspend fun expect(step: ScenarioStep.Expect) {
        val told = end(step, step.of)
        if (told.outcome !in step.outcome) throw StepFailed(step, "told $told")
        if (step.replayed != null && told.replayed != step.replayed) throw StepFailed(step, "told $told")
    }

    private suspend fun expectOne(step: ScenarioStep.ExpectOne) {
        val ends = step.of.map { end(step, it) }
        if (ends.count { it.outcome == step.outcome } != 1) throw StepFailed(step, "told $ends")
    }

    private suspend fun end(step: ScenarioStep, name: String): Told =
        withTimeoutOrNull(patience) { request(name).told.await() } ?: throw StepFailed(step, "no end in $patience")

    private fun same(step: ScenarioStep, seen: Int, wanted: Int) {
        if (seen != wanted) throw StepFailed(step, "seen $seen")
    }

    private suspend fun await(step: ScenarioStep, condition: () -> Boolean) {
        if (!eventually(condition)) throw StepFailed(step, "not so after $patience")
    }

    private suspend fun eventually(condition: () -> Boolean): Boolean = withTimeoutOrNull(patience) {
        while (!condition()) delay(poll)
        true
    } ?: false
}
