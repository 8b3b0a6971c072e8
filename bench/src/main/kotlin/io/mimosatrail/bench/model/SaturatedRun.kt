package io.mimosatrail.bench.model

import io.mimosatrail.core.config.PoolPreference
import org.HdrHistogram.Histogram
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val ENTRIES = 4

/** Streams to keep open for each runner, so that every batch is full. */
internal const val SATURATING_STREAMS = 100

private const val MEAN_OUTPUT_TOKENS = 100
private const val MICROS_PER_MILLI = 1_000.0
private val WARM_UP: Duration = 15.seconds

/** Tokens a second over a time window, against the bound for the same mix; [gapMillis] is the p95 between tokens. */
internal class Throughput(val tokensPerSecond: Double, val boundTokensPerSecond: Double, val gapMillis: Double) {
    val ratio: Double get() = tokensPerSecond / boundTokensPerSecond
}

/** Keeps a constant number of streams open, as many as saturate the fleet, and counts work run. */
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

    /** Runs on for [length]; answers what was reached in it. */
    fun run(length: Duration): Throughput {
        val from = loop.now
        units = 0
        tokens = 0
        gaps.reset()
        loop.runUntil(from + length)
        val seconds = length.toDouble(DurationUnit.SECONDS)
        val unitsPerToken = units.toDouble() / tokens.coerceAtLeast(1)
        val gapMillis = gaps.getValueAtPercentile(95.0) / MICROS_PER_MILLI
        return Throughput(tokens / seconds, fleet.boundUnitsPerSecond() / unitsPerToken, gapMillis)
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
            runners.forEach { it.open-- }
            openNext()
        }
        runners.forEach { it.open++ }
        StreamModel(fleet, entry, chain, size, StreamListener({ _, proceed -> proceed() }, onToken, onEnd)).open()
    }

    private fun count(index: Int, prompt: Int) {
        tokens++
        units += if (index == 0) promptUnits(prompt) else 1
    }
}
