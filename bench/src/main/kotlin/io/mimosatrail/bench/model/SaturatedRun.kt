package io.mimosatrail.bench.model

import io.mimosatrail.core.config.PoolPreference
import org.HdrHistogram.Histogram
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ENTRIES = 4

/** Open streams per runner that keep every batch full. */
internal const val SATURATING_STREAMS = 100

private const val MEAN_OUTPUT_TOKENS = 100
private const val MICROS_PER_MILLI = 1_000.0
private val WARM_UP: Duration = 15.seconds

/**
 * Throughput in a time window, with the maximum that the fleet could reach for the same mix of prompts and tokens.
 *
 * [p95GapMillis] is the 95th percentile of the time between tokens.
 */
internal class Throughput(val tokensPerSecond: Double, val maxTokensPerSecond: Double, val p95GapMillis: Double) {
    val ratio: Double get() = tokensPerSecond / maxTokensPerSecond
}

/** Closed-loop load on a fleet: keeps [streams] streams open, by default enough to saturate it. */
internal class SaturatedRun(
    size: Int,
    policy: RoutePolicy,
    seed: Long,
    private val streams: Int = size * SATURATING_STREAMS,
    preference: PoolPreference = PoolPreference.THROUGHPUT,
) {
    private val loop = EventLoop()
    private val random = Random(seed)
    val fleet = FleetModel(loop, size, random, preference)
    private val entries = List(ENTRIES) { EntryModel(fleet, it, policy, Random(seed + it + 1)) }
    private var units = 0L
    private var tokens = 0L
    private val gaps = Histogram(3)

    fun start() {
        loop.runUntil(loop.now + 1.seconds)
        repeat(streams) { openNext() }
        run(WARM_UP)
    }

    /** Runs for [length] and returns the throughput in it. */
    fun run(length: Duration): Throughput {
        val from = loop.now
        units = 0
        tokens = 0
        gaps.reset()
        loop.runUntil(from + length)
        val seconds = length.toDouble(DurationUnit.SECONDS)
        val unitsPerToken = units.toDouble() / tokens.coerceAtLeast(1)
        val p95GapMillis = gaps.getValueAtPercentile(95.0) / MICROS_PER_MILLI
        return Throughput(tokens / seconds, fleet.maxUnitsPerSecond() / unitsPerToken, p95GapMillis)
    }

    private fun openNext() {
        val entry = entries.random(random)
        val size =
            StreamSize(random.nextInt(50, 400), random.nextInt(MEAN_OUTPUT_TOKENS / 2, MEAN_OUTPUT_TOKENS * 3 / 2))
        val chain = entry.choose(size.promptTokens) ?: return loop.after(1.seconds) { openNext() }
        val runners = chain.stages.map { fleet.byId.getValue(it.instance) }
        var last = loop.now
        val onToken = { index: Int ->
            if (index > 0) gaps.recordValue((loop.now - last).inWholeMicroseconds)
            last = loop.now
            count(index, size.promptTokens)
        }
        val onEnd = {
            runners.forEach { it.openSequences-- }
            openNext()
        }
        runners.forEach { it.openSequences++ }
        StreamModel(fleet, entry, chain, size, StreamListener({ _, proceed -> proceed() }, onToken, onEnd)).open()
    }

    private fun count(index: Int, prompt: Int) {
        tokens++
        units += if (index == 0) promptUnits(prompt) else 1
    }
}
