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

/** Requests that come on their own schedule, through admission at every stage, with retries at the entry. */
internal class GatedRun(size: Int, seed: Long) {
    val loop = EventLoop()
    val random = Random(seed)
    val fleet = FleetModel(loop, size, random, PoolPreference.THROUGHPUT)
    val entries = List(ENTRIES) { EntryModel(fleet, it, predictedTimePolicy, Random(seed + it + 1)) }
    val retries = entries.map { RetryPolicy(RetryBudget(), random) }
    val gates: Map<InstanceId, GateModel> = fleet.runners.associate { it.id to GateModel(loop, it) }
    private var numbers = 0
    private var ratePerSecond = 0.0

    /** Where requests are counted now. */
    var record = LoadRecord()
        private set

    init {
        loop.runUntil(loop.now + 12.seconds)
    }

    /** Offers [perSecond] requests a second, at random times, for [length]; answers what callers saw in it. */
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
            GatedRequest(this, numbers++).start()
            scheduleNext()
        }
    }
}
