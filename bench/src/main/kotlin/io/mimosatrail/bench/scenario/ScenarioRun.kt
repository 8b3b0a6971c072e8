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

/** Longest wait of one step; only a failing scenario waits this long. */
private val stepTimeout = 60.seconds
private val pollInterval = 10.milliseconds
private val resendDelay = 500.milliseconds

/** Thrown if a step did not find what it expects. */
class StepFailed(step: ScenarioStep, reason: String) : AssertionError("$step: $reason")

/** Runs one scenario; paths of ticket files are relative to [root]. */
class ScenarioRun(private val scenario: Scenario, private val root: Path) {
    private val environment = ScenarioEnvironment(scenario)
    private val checker = InvariantChecker()
    private val caller = Caller(scenario.key)
    private val requests = RequestSender(caller, checker)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val tracked = mutableMapOf<String, TrackedRequest>()
    private val stops = mutableMapOf<String, Job>()

    /** Runs every step and returns the violated invariants. Throws [StepFailed] at the first step that fails. */
    suspend fun run(): List<Violation> = try {
        environment.use { runIn(it) }
    } finally {
        scope.cancel()
        caller.close()
    }

    private suspend fun runIn(environment: ScenarioEnvironment): List<Violation> {
        environment.start()
        TicketClient(environment.fleet.store.url).use { tickets ->
            val result = tickets.submit(root.resolve(scenario.ticket).readText())
            check(result.outcome == ObservedOutcome.ACCEPTED) { "the first ticket was not accepted: $result" }
            awaitSettled()
            scenario.steps.forEach { run(it, tickets) }
        }
        tracked.values.forEach { withTimeoutOrNull(stepTimeout) { it.result.await() } }
        return checker.violations(environment.records())
    }

    /** Waits until every daemon has applied the first ticket and every entry is ready and knows every upstream. */
    private suspend fun awaitSettled() {
        val sidecars = environment.fleet.running.size - scenario.entries.size
        val isSettled = eventually {
            val entries = scenario.entries.map { environment.instance(it).daemon.status() }
            val areEntriesReady = entries.all { it.ready && it.upstreams.size == sidecars }
            areEntriesReady && environment.fleet.running.all { it.daemon.status().revision > 0 }
        }
        check(isSettled) { "not every daemon knows the first ticket and all upstreams after $stepTimeout" }
    }

    private suspend fun run(step: ScenarioStep, tickets: TicketClient) {
        when (step) {
            is ScenarioStep.Submit -> track(step.name) { tickets.submit(step.ticket) }
            is ScenarioStep.Ask -> ask(step)
            is ScenarioStep.Report -> track(step.name) { report(step) }
            is ScenarioStep.LookUp -> track(step.name) { requests.lookUp(environment.instance(step.entry).url, step) }
            is ScenarioStep.AwaitTokens -> awaitTokens(step)
            is ScenarioStep.AwaitRecords ->
                await(step) { environment.application(step.application).records.size >= step.count }
            is ScenarioStep.AwaitRevision ->
                await(step) { environment.fleet.running.all { it.daemon.status().revision >= step.revision } }
            is ScenarioStep.AwaitStopped -> await(step) { stops.getValue(step.instance).isCompleted }
            is ScenarioStep.Expect -> expect(step)
            is ScenarioStep.ExpectOne -> expectOne(step)
            is ScenarioStep.ExpectRecords ->
                expectCount(step, environment.application(step.application).records.size, step.count)
            is ScenarioStep.ExpectSequences ->
                expectCount(step, environment.engine(step.runner).runs.sequences.size, step.count)
            else -> changeEnvironment(step)
        }
    }

    private suspend fun changeEnvironment(step: ScenarioStep) {
        when (step) {
            is ScenarioStep.Start -> environment.startSpare(step.instance)
            is ScenarioStep.Stop -> stops[step.instance] = scope.launch { environment.fleet.stop(step.instance) }
            is ScenarioStep.Kill -> environment.kill(step.instance)
            is ScenarioStep.KillBusy -> environment.kill(environment.busiest(step.among))
            is ScenarioStep.FreezeBusy ->
                environment.engine(environment.busiest(step.among)).faults.set(EngineFaults(frozen = true))
            is ScenarioStep.MarkLeaving -> environment.fleet.markLeaving(step.instance)
            is ScenarioStep.BreakStore -> environment.fleet.store.faults.set(step.faults)
            is ScenarioStep.BreakList -> environment.fleet.list.faults.set(step.faults)
            is ScenarioStep.BreakRunner -> environment.engine(step.runner).faults.set(step.faults)
            is ScenarioStep.BreakApplication -> environment.application(step.application).faults.set(step.faults)
            is ScenarioStep.Mend -> environment.clearFaults(step.target)
            else -> error("unhandled step: $step")
        }
    }

    private suspend fun awaitTokens(step: ScenarioStep.AwaitTokens) {
        val request = request(step.request)
        val isDecided = eventually { request.tokens.get() >= step.count || request.result.isCompleted }
        if (request.tokens.get() >= step.count) return
        val end = if (isDecided) "ended with ${request.result.await()}" else "not ended after $stepTimeout"
        throw StepFailed(step, "got ${request.tokens.get()} tokens, $end")
    }

    private fun ask(step: ScenarioStep.Ask) {
        val entry = environment.instance(step.entry).url
        val tokens = AtomicInteger()
        // Each token of the toy model is one character.
        val result = scope.async {
            requests.ask(entry, step, environment.layersOf(step.model)) { tokens.addAndGet(it.length) }
        }
        tracked[step.name] = TrackedRequest(result, tokens)
    }

    private suspend fun report(step: ScenarioStep.Report): ObservedResult {
        val entry = environment.instance(step.entry).url
        var result = requests.report(entry, step)
        while (step.untilRun && result.outcome == ObservedOutcome.NOT_RUN) {
            delay(resendDelay)
            result = requests.report(entry, step)
        }
        return result
    }

    private fun track(name: String, send: suspend () -> ObservedResult) {
        tracked[name] = TrackedRequest(scope.async { send() })
    }

    private fun request(name: String) = tracked[name] ?: error("no request $name")

    private suspend fun expect(step: ScenarioStep.Expect) {
        val result = awaitResult(step, step.request)
        if (result.outcome !in step.outcomes) throw StepFailed(step, "got $result")
        if (step.isReplayed != null && result.isReplayed != step.isReplayed) throw StepFailed(step, "got $result")
    }

    private suspend fun expectOne(step: ScenarioStep.ExpectOne) {
        val results = step.requests.map { awaitResult(step, it) }
        if (results.count { it.outcome == step.outcome } != 1) throw StepFailed(step, "got $results")
    }

    private suspend fun awaitResult(step: ScenarioStep, name: String): ObservedResult =
        withTimeoutOrNull(stepTimeout) { request(name).result.await() }
            ?: throw StepFailed(step, "$name has not ended after $stepTimeout")

    private fun expectCount(step: ScenarioStep, actual: Int, expected: Int) {
        if (actual != expected) throw StepFailed(step, "got $actual")
    }

    private suspend fun await(step: ScenarioStep, condition: () -> Boolean) {
        if (!eventually(condition)) throw StepFailed(step, "still not true after $stepTimeout")
    }

    /** Polls [condition] until it is true; returns false if it is still false after [stepTimeout]. */
    private suspend fun eventually(condition: () -> Boolean): Boolean = withTimeoutOrNull(stepTimeout) {
        while (!condition()) delay(pollInterval)
        true
    } ?: false
}
