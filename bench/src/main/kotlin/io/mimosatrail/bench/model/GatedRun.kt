package io.mimosatrail.bench.model

import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.retry.RetryBudget
import io.mimosatrail.core.retry.RetryPolicy
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val ENTRIES = 4

/**
 * Open-loop load on a fleet: requests arrive at random times, independent of the answers to earlier ones. They pass an
 * admission gate at every stage, and the entry retries refused attempts.
 */
internal class GatedRun(size: Int, seed: Long) {
    val loop = EventLoop()
    val random = Random(seed)
    val fleet = FleetModel(loop, size, random, PoolPreference.THROUGHPUT)
    val entries = List(ENTRIES) { EntryModel(fleet, it, predictedTimePolicy, Random(seed + it + 1)) }
    val retries = entries.map { RetryPolicy(RetryBudget(), random) }
    val gates: Map<InstanceId, GateModel> = fleet.runners.associate { it.id to GateModel(loop, it) }
    private var requestCount = 0
    private var ratePerSecond = 0.0

    /** Counts of the current time window. */
    var record = LoadRecord()
        private set

    init {
        loop.runUntil(loop.now + 12.seconds)
    }

    /** Offers [perSecond] requests per second on average for [length], and returns the counts of that time window. */
    fun run(perSecond: Double, length: Duration): LoadRecord {
        val wasIdle = ratePerSecond == 0.0
        ratePerSecond = perSecond
        record = LoadRecord()
        if (wasIdle) scheduleNext()
        loop.runUntil(loop.now + length)
        return record
    }

    private fun scheduleNext() {
        loop.after((-ln(1 - random.nextDouble()) / ratePerSecond).seconds) {
            record.offered++
            GatedRequest(this, requestCount++).start()
            scheduleNext()
        }
    }
}
