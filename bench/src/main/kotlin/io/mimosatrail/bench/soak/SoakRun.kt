package io.mimosatrail.bench.soak

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.scenario.ApplicationRecord
import io.mimosatrail.bench.scenario.Invariant
import io.mimosatrail.bench.scenario.InvariantChecker
import io.mimosatrail.bench.scenario.ObservedOutcome
import io.mimosatrail.bench.scenario.ReportBody
import io.mimosatrail.bench.scenario.TicketClient
import io.mimosatrail.bench.scenario.Violation
import io.mimosatrail.bench.scenario.lenientJson
import io.mimosatrail.standins.instances.InstanceRow
import io.mimosatrail.standins.plain.RecordsBody
import kotlinx.coroutines.delay
import org.http4k.client.JettyClient
import org.http4k.core.Method
import org.http4k.core.Request
import java.nio.file.Path
import kotlin.io.path.createFile
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val START_ATTEMPTS = 600
private val violationCounter = Regex("mimosatrail_\\S*violations_total.*")
private val pollInterval = 100.milliseconds

/**
 * One soak run: adds the daemons to the instance list, submits the ticket, sends traffic for [seconds] and checks the
 * invariants. `bin/soak` appends the faults it injects to the file [faults]; the run creates the file [ready] when the
 * traffic starts. With [stopsOnly] the script only makes planned stops, so any request that is cut is a violation.
 */
internal class SoakRun(
    private val layout: SoakLayout,
    private val seconds: Int,
    private val seed: Long,
    private val faults: Path,
    private val ready: Path,
    private val stopsOnly: Boolean,
) {
    private val http = JettyClient()
    private val tally = SoakTally()
    private val checker = InvariantChecker()

    /**
     * Runs and prints the report. Returns true if the checks found no violation; violations that the daemons counted
     * themselves are only printed.
     */
    suspend fun run(): Boolean {
        await("the store and the instance list") { layout.rows.forEach { addToList(it) } }
        TicketClient(layout.store).use { tickets ->
            val result = tickets.submit(Path.of(layout.ticket).readText())
            check(result.outcome == ObservedOutcome.ACCEPTED) { "the ticket was not accepted: $result" }
        }
        await("the processes") { layout.admins.forEach { checkReady(it) } }
        ready.createFile()
        val end = TimeSource.Monotonic.markNow() + seconds.seconds
        Caller(layout.key).use { SoakTraffic(layout, seed, end, tally, checker, it).run() }
        val records = records()
        val violations = checker.violations(records) + if (stopsOnly) cutRequests() else emptyList()
        SoakReport(tally, faults).print(records.size, violations, daemonViolations())
        return violations.isEmpty()
    }

    private suspend fun await(what: String, action: () -> Unit) {
        repeat(START_ATTEMPTS) {
            if (runCatching(action).isSuccess) return
            delay(pollInterval)
        }
        error("$what did not start")
    }

    private fun addToList(row: InstanceRow) {
        val body = lenientJson.encodeToString(InstanceRow.serializer(), row)
        val answer = http(Request(Method.PUT, "${layout.list}/v1/instances/${row.id}").body(body))
        check(answer.status.successful) { "the instance list answered ${answer.status}" }
    }

    private fun checkReady(admin: String) {
        val answer = http(Request(Method.GET, "$admin/ready"))
        check(answer.status.successful) { "$admin is not ready" }
    }

    private fun records(): List<ApplicationRecord> {
        val text = http(Request(Method.GET, "${layout.application}/standin/records")).bodyString()
        return lenientJson.decodeFromString(RecordsBody.serializer(), text).records.map { record ->
            val body = lenientJson.decodeFromString(ReportBody.serializer(), record.body)
            ApplicationRecord(layout.service, body.key, record.id)
        }
    }

    private fun cutRequests(): List<Violation> = SoakRequest.entries.flatMap { request ->
        listOf(ObservedOutcome.CUT, ObservedOutcome.NO_ANSWER, ObservedOutcome.UNKNOWN).mapNotNull { outcome ->
            val count = tally.count(request, outcome)
            if (count == 0L) null else Violation(Invariant.GRACEFUL_STOP, "$request ended $outcome: $count")
        }
    }

    /** Violations that the daemons counted in their own metrics, or -1 if no daemon can be reached. */
    private fun daemonViolations(): Long {
        val pages = layout.admins.mapNotNull { admin ->
            runCatching { http(Request(Method.GET, "$admin/metrics")).bodyString() }.getOrNull()
        }
        if (pages.isEmpty()) return -1
        return pages.flatMap { it.lines() }
            .filter { violationCounter.matches(it) }
            .sumOf { it.substringAfterLast(' ').toDoubleOrNull()?.toLong() ?: 0 }
    }
}
