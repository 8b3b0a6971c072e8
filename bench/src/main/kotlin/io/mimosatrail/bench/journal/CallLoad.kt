package io.mimosatrail.bench.journal

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.core.calls.CallKeys
import io.mimosatrail.core.calls.SlotTable
import io.mimosatrail.core.calls.SlotTableStore
import io.mimosatrail.core.id.IdempotencyKey
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.StoreRevision
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.store.StoreCommand
import io.mimosatrail.core.store.StoreKey
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.entry.call.ServiceCall
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

private const val SIDECARS = 3
private const val STORE_DELAY_MILLIS = 3L
private const val WORK_MILLIS = 5L
private const val MAX_STORE_WRITES_PER_SECOND = 100.0
private const val MICROS_PER_MILLI = 1_000.0
private val RATES = listOf(1, 10, 100, 1_000)
private val CALL_TIMEOUT = 10.seconds

/** Protection of a non-idempotent call against a second run. */
private typealias CallProtection = suspend (CallCluster, ServiceCall) -> Result<Any, Refusal>

private val journaled: CallProtection = { cluster, call -> cluster.forwarder.call(call) }

/** No protection: the call is sent without a key, and so without a claim. */
private val unclaimed: CallProtection = { cluster, call -> cluster.forwarder.call(call.withoutKey()) }

/** One store write per call, before the call is sent. */
private val oneWritePerCall: CallProtection = { cluster, call ->
    cluster.store(StoreCommand.Put(StoreKey("claims/${call.id}"), CLAIM_VALUE, expected = StoreRevision(0)))
    cluster.forwarder.call(call.withoutKey())
}

private val CLAIM_VALUE = ByteArray(100)

private class LoadResult(
    val latency: ConcurrentHistogram,
    val calls: Long,
    val failed: Long,
    val writes: Long,
    val seconds: Double,
) {
    fun millis(percentile: Double) = latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI
}

/** Store writes and added latency at growing call rates. The baseline makes one store write per call. */
internal fun callLoad(options: BenchOptions): List<Figure> {
    val duration = if (options.quick) 3.seconds else 10.seconds
    CallCluster(SIDECARS, STORE_DELAY_MILLIS, WORK_MILLIS).use { cluster ->
        awaitSlots(cluster)
        return RATES.flatMap { rate -> figures(options, rate, measure(cluster, rate, duration)) }
    }
}

private class RateResult(val journaled: LoadResult, val oneWrite: LoadResult, val unclaimed: LoadResult)

private fun measure(cluster: CallCluster, rate: Int, duration: Duration) = RateResult(
    journaled = load(cluster, rate, duration, journaled),
    oneWrite = load(cluster, rate, duration, oneWritePerCall),
    unclaimed = load(cluster, rate, duration, unclaimed),
)

private fun figures(options: BenchOptions, rate: Int, run: RateResult): List<Figure> {
    fun figure(name: String, unit: String, value: (LoadResult) -> Double, target: Double? = null) = Figure(
        bench = "journal",
        figure = "$name at $rate calls/s",
        unit = unit,
        value = value(run.journaled),
        baseline = value(run.oneWrite),
        target = target,
        met = target?.let { value(run.journaled) < it },
        seed = options.seed,
    )
    return listOf(
        figure("answered calls", "calls/s", { (it.calls - it.failed) / it.seconds }),
        figure("failed calls", "calls", { it.failed.toDouble() }),
        figure("added latency p50", "ms", { it.millis(50.0) - run.unclaimed.millis(50.0) }),
        figure("added latency p99", "ms", { it.millis(99.0) - run.unclaimed.millis(99.0) }),
        figure("store writes per call", "writes", { it.writes.toDouble() / it.calls }),
        figure("store writes", "writes/s", { it.writes / it.seconds }, MAX_STORE_WRITES_PER_SECOND),
    )
}

private fun load(cluster: CallCluster, rate: Int, duration: Duration, protection: CallProtection): LoadResult =
    runBlocking {
        val latency = ConcurrentHistogram(3)
        val failed = AtomicLong()
        val calls = (rate * duration.inWholeMilliseconds / 1_000).coerceAtLeast(1)
        val period = 1.seconds / rate
        val writesBefore = cluster.storeWrites()
        val start = systemClock()
        val jobs = (0 until calls).map { number ->
            val due = start + period * number.toDouble()
            delay(due - systemClock())
            launch(Dispatchers.Default) {
                protection(cluster, cluster.call()).mapBoth({ }, { failed.incrementAndGet() })
                latency.recordValue((systemClock() - due).inWholeMicroseconds)
            }
        }
        jobs.forEach { it.join() }
        val seconds = (systemClock() - start).inWholeMicroseconds.microseconds.inWholeMilliseconds / 1_000.0
        LoadResult(latency, calls, failed.get(), cluster.storeWrites() - writesBefore, seconds)
    }

private val lastCallNumber = AtomicLong()

private fun CallCluster.call(): ServiceCall {
    val number = lastCallNumber.incrementAndGet()
    return ServiceCall(
        RequestId("request-$number"),
        WorkspaceId("crews"),
        service,
        IdempotencyKey("key-$number"),
        false,
        "POST",
        "/defects",
        emptyList(),
        "heater 12 is cold".toByteArray(),
        0,
        systemClock() + CALL_TIMEOUT,
    )
}

private fun ServiceCall.withoutKey() =
    ServiceCall(id, workspace, service, null, isKeyGenerated, method, path, headers, body, priority, deadline)

/** Waits until the slots are evenly assigned, and one more poll interval for the owners to start serving them. */
private fun awaitSlots(cluster: CallCluster) = runBlocking {
    val tables = SlotTableStore(CallKeys(cluster.service.id), cluster.store::invoke)
    repeat(MAX_SLOT_POLLS) {
        if (tables.read().get()?.isBalanced() == true) return@repeat
        delay(SLOT_POLL)
    }
    delay(SLOT_POLL)
}

private fun SlotTable.isBalanced(): Boolean =
    owners.size == SIDECARS && slots.none { it == null } && owners.all { slotsOf(it.epoch).size <= evenShare() }

private const val MAX_SLOT_POLLS = 15
private val SLOT_POLL = 2.seconds
