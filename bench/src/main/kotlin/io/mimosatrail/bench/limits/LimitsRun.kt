package io.mimosatrail.bench.limits

import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.limits.LimitDecision
import io.mimosatrail.core.limits.PermitLender
import io.mimosatrail.core.limits.PermitRequest
import io.mimosatrail.core.limits.PermitTable
import io.mimosatrail.core.time.Moment
import io.mimosatrail.protocol.BorrowPermits
import io.mimosatrail.protocol.Envelope
import io.mimosatrail.protocol.LendPermits
import io.mimosatrail.protocol.PeerCodec
import org.HdrHistogram.Histogram
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val ENTRIES = 10
private const val REQUESTS_PER_SECOND = 20
private const val TOKENS_PER_SECOND = 2_000
private const val TOKENS_PER_REQUEST = 50
private const val BUSY_WORKSPACES = 100
private const val OVERLOAD_FACTOR = 3
private val STEP: Duration = 50.milliseconds

/**
 * Calls of workspaces through ten entries. Each workspace has a home, the entry that lends the permits for its limit.
 *
 * The first hundred workspaces call at three times their limit, the others about once in ten seconds. [isCutOff] is
 * true while an entry gets no answer from any home; `since` is the time since the start of the run.
 */
internal class LimitsRun(count: Int, seed: Long, private val isCutOff: (entry: Int, since: Duration) -> Boolean) {
    private val workspaces = List(count) {
        Workspace(WorkspaceId("w$it"), emptyList(), REQUESTS_PER_SECOND, TOKENS_PER_SECOND)
    }
    private val byId = workspaces.associateBy { it.id }
    private val busy = minOf(count, BUSY_WORKSPACES)
    private val random = Random(seed)
    private val tables = List(ENTRIES) { PermitTable() }
    private val lenders = List(ENTRIES) { PermitLender() }
    private val admitted = IntArray(count)
    private val admissionNanos = Histogram(3)
    private var reports = 0L
    private var bytes = 0L
    private var now = Moment(0)

    fun run(length: Duration) {
        while (now < Moment(0) + length) {
            now += STEP
            repeat(busy * REQUESTS_PER_SECOND * OVERLOAD_FACTOR / STEPS_PER_SECOND) { call(random.nextInt(busy)) }
            repeat(workspaces.size / (10 * STEPS_PER_SECOND)) { call(random.nextInt(workspaces.size)) }
            tables.indices.forEach(::renewPermits)
        }
    }

    /** Highest ratio of admitted requests to the limit among the busy workspaces. */
    fun highestRatio(): Double = ratios().max()

    fun meanRatio(): Double = ratios().average()

    fun admissionMicros(percentile: Double): Double = admissionNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO

    fun reportsPerEntrySecond(): Double = reports / ENTRIES / seconds()

    fun bytesPerEntrySecond(): Double = bytes / ENTRIES / seconds()

    fun bytesPerRequest(): Double = bytes.toDouble() / admissionNanos.totalCount

    private fun ratios() = admitted.take(busy).map { it / (REQUESTS_PER_SECOND * seconds()) }

    private fun seconds() = (now - Moment(0)).toDouble(DurationUnit.SECONDS)

    private fun call(workspace: Int) {
        val table = tables[random.nextInt(ENTRIES)]
        val start = System.nanoTime()
        val decision = table.admit(workspaces[workspace], TOKENS_PER_REQUEST, 1.0 / ENTRIES, now)
        admissionNanos.recordValue(System.nanoTime() - start)
        if (decision == LimitDecision.Admitted) admitted[workspace]++
    }

    private fun renewPermits(entry: Int) {
        val due = tables[entry].takeDueRequests(now).groupBy { it.workspace.value.hashCode().mod(ENTRIES) }
        due.forEach { (home, requests) -> renewPermits(entry, home, requests) }
    }

    private fun renewPermits(entry: Int, home: Int, requests: List<PermitRequest>) {
        if (isCutOff(entry, now - Moment(0))) return requests.forEach { tables[entry].onNoAnswer(it) }
        val grants = requests.map { lenders[home].lend(it, byId.getValue(it.workspace), now) }
        grants.forEach { tables[entry].onGrant(it, now) }
        if (home == entry) return
        reports++
        bytes +=
            encodedSize(Envelope(BorrowPermits(requests), ConfigRevision(1))) +
            encodedSize(Envelope(LendPermits(grants), ConfigRevision(1)))
    }

    private fun encodedSize(envelope: Envelope) = PeerCodec.encode(envelope).size

    private companion object {
        const val STEPS_PER_SECOND = 20
        const val NANOS_PER_MICRO = 1_000.0
    }
}
