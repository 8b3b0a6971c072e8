package io.mimosatrail.bench.recovery

import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.simulation.VirtualAnswer
import io.mimosatrail.core.pipeline.simulation.VirtualCluster
import io.mimosatrail.core.pipeline.simulation.VirtualSpeed
import io.mimosatrail.core.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

private const val TOKENS = 40
private const val CRASH_AFTER = 20
private const val POSITION_BYTES = 8 * 1024
private const val KV_BYTES = 20 * 1024
private val stageRanges = listOf(LayerRange(0, 2), LayerRange(2, 4), LayerRange(4, 6), LayerRange(6, 8))
private val interToken = 43.milliseconds
private val step = 10.milliseconds
private val prefillPosition = 30.microseconds
private val latency = 700.microseconds

/** What one caller saw of one crash. */
internal class TrialResult(val stall: Duration, val whole: Boolean)

/** One request whose chain loses a stage at a random moment after its twentieth token. */
internal class StallTrial(private val case: RecoveryCase, seed: Long) {
    private val cluster = VirtualCluster(
        seed,
        stageRanges,
        replicas = 2,
        speed = VirtualSpeed(latency, case.link.bytesPerSecond, POSITION_BYTES, KV_BYTES, step, prefillPosition),
        stageSettings = case.strategy.stage,
        streamSettings = case.strategy.stream,
        forecast = case.strategy.forecast,
    )
    private var struck = false
    private var restarts = 0

    fun run(): TrialResult {
        val spec = cluster.spec("first", case.promptTokens, TOKENS, 10.minutes)
        cluster.entry.onToken = { if (it.tokens.size == CRASH_AFTER) strikeSoon() }
        cluster.entry.onEnd = { if (it.failed != null) restart(it) }
        cluster.entry.open(spec)
        while (cluster.entry.answers.values.none { it.finished != null }) cluster.run(interToken)
        val answers = cluster.entry.answers.values.toList()
        val whole = answers.last().tokens == answers.last().reference(cluster.layers)
        return TrialResult(stall(arrivals(answers)), whole)
    }

    private fun strikeSoon() {
        if (struck) return
        struck = true
        cluster.time.after(interToken * cluster.random.nextDouble()) {
            cluster.stages.filter { it.sequences > 0 }.random(cluster.random).crash(case.strategy.silent)
        }
    }

    /** Asks again for the whole answer, as a caller without recovery does. */
    private fun restart(failed: VirtualAnswer) {
        val left = 10.minutes
        val spec = cluster.spec("again-${restarts++}", case.promptTokens, failed.spec.maxTokens, left)
        cluster.time.after(Duration.ZERO) { cluster.entry.open(spec) }
    }

    /** When the caller first had each token of the answer. */
    private fun arrivals(answers: List<VirtualAnswer>): List<Moment> = List(TOKENS) { index ->
        answers.mapNotNull { it.times.getOrNull(index) }.min()
    }

    private fun stall(arrivals: List<Moment>): Duration = arrivals.zipWithNext { earlier, later ->
        later - earlier
    }.max()
}
