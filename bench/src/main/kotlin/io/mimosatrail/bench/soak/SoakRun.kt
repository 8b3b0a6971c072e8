package io.mimosatrail.bench.soak

import io.mimosatrail.bench.fleet.Caller
import io.mimosatrail.bench.scenario.Ledger
import io.mimosatrail.bench.scenario.MadeRecord
import io.mimosatrail.bench.scenario.Promise
import io.mimosatrail.bench.scenario.ReportBody
import io.mimosatrail.bench.scenario.TicketDesk
import io.mimosatrail.bench.scenario.ToldOutcome
import io.mimosatrail.bench.scenario.Violation
import io.mimosatrail.bench.scenario.storyJson
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
private val violationsMeter = Regex("mimosatrail_\\S*violations_total.*")
private val poll = 100.milliseconds

/**
 * One soak run: lists the processes, submits the ticket, sends traffic for [seconds] and checks what was told. With
 * [stopsOnly] the script makes planned stops only, so that any request that is cut breaks a promise.
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
    private val ledger = Ledger()

    /** Answers true where every promise held. */
    suspend fun run(): Boolean {
        await("the store and the list") { layout.rows.forEach { list(it) } }
        TicketDesk(layout.store).use { desk ->
            val told = desk.submit(Path.of(layout.ticket).readText())
            check(told.outcome == ToldOutcome.ACCEPTED) { "the ticket was not accepted: $told" }
        }
        await("the processes") { layout.admins.forEach { checkReady(it) } }
        ready.createFile()
        val end = TimeSource.Monotonic.markNow() + seconds.seconds
        Caller(layout.key).use { SoakTraffic(layout, seed, end, tally, ledger, it).run() }
        val records = records()
        val violations = ledger.violations(records) + if (stopsOnly) cuts() else emptyList()
        SoakReport(tally, faults).print(records.size, violations, inside())
        return violations.isEmpty()
    }

    private suspend fun await(what: String, action: () -> Unit) {
        repeat(START_ATTEMPTS) {
            if (runCatching(action).isSuccess) return
            delay(poll)
        }
        error("$what did not start")
    }

    private fun list(row: InstanceRow) {
        val body = storyJson.encodeToString(InstanceRow.serializer(), row)
        val answer = http(Request(Method.PUT, "${layout.list}/v1/instances/${row.id}").body(body))
        check(answer.status.successful) { "the list answered ${answer.status}" }
    }

    private fun checkReady(admin: String) {
        val answer = http(Request(Method.GET, "$admin/ready"))
        check(answer.status.successful) { "$admin is not ready" }
    }

    private fun records(): List<MadeRecord> {
        val text = http(Request(Method.GET, "${layout.application}/standin/records")).bodyString()
        return storyJson.decodeFromString(RecordsBody.serializer(), text).records.map { record ->
            val body = storyJson.decodeFromString(ReportBody.serializer(), record.body)
            MadeRecord(layout.service, body.report, record.id)
        }
    }

    private fun cuts(): List<Violation> = SoakRequest.entries.flatMap { request ->
        listOf(ToldOutcome.CUT, ToldOutcome.NO_ANSWER, ToldOutcome.UNKNOWN).mapNotNull { outcome ->
            val count = tally.of(request, outcome)
            if (count == 0L) null else Violation(Promise.GRACEFUL_STOP, "$request ended $outcome: $count")
        }
    }

    /** Violations that the processes counted themselves, or -1 where none tells. */
    private fun inside(): Long {
        val pages = layout.admins.mapNotNull { admin ->
            runCatching { http(Request(Method.GET, "$admin/metrics")).bodyString() }.getOrNull()
        }
        if (pages.isEmpty()) return -1
        return pages.flatMap { it.lines() }
            .filter { violationsMeter.matches(it) }
            .sumOf { it.substringAfterLast(' ').toDoubleOrNull()?.toLong() ?: 0 }
    }
}
