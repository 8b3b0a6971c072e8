package io.mimosatrail.bench.routing

import com.sun.management.ThreadMXBean
import io.mimosatrail.bench.model.EntryModel
import io.mimosatrail.bench.model.EventLoop
import io.mimosatrail.bench.model.FleetModel
import io.mimosatrail.bench.model.predictedTimePolicy
import io.mimosatrail.bench.run.BenchOptions
import io.mimosatrail.bench.run.Figure
import io.mimosatrail.core.config.PoolPreference
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val NANOS_PER_MICRO = 1_000.0
private const val WARM_UP_DECISIONS = 20_000

/** Wall-clock time and allocated bytes of one choice of a chain, as the table grows. */
internal fun decisionCosts(options: BenchOptions): List<Figure> = listOf(40, 200, 600).flatMap { size ->
    val entry = entryWithRunners(size, options.seed)
    repeat(WARM_UP_DECISIONS) { entry.choose(100) }
    val decisions = if (options.quick) 20_000 else 200_000
    val nanos = Histogram(3)
    val before = allocatedBytes()
    repeat(decisions) {
        val start = System.nanoTime()
        entry.choose(100)
        nanos.recordValue(System.nanoTime() - start)
    }
    val bytes = (allocatedBytes() - before).toDouble() / decisions
    fun figure(label: String, unit: String, value: Double) =
        Figure("routing", "decision among $size runners: $label", unit, value, seed = options.seed)
    listOf(
        figure("p50", "us", nanos.getValueAtPercentile(50.0) / NANOS_PER_MICRO),
        figure("p99", "us", nanos.getValueAtPercentile(99.0) / NANOS_PER_MICRO),
        figure("allocated", "bytes", bytes),
    )
}

private fun entryWithRunners(size: Int, seed: Long): EntryModel {
    val loop = EventLoop()
    val fleet = FleetModel(loop, size, Random(seed), PoolPreference.THROUGHPUT)
    val entry = EntryModel(fleet, 0, predictedTimePolicy, Random(seed))
    loop.runUntil(loop.now + 30.seconds)
    return entry
}

private fun allocatedBytes(): Long =
    (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)
