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
private const val CRASH_AFTER_TOKENS = 20
private const val POSITION_BYTES = 8 * 1024
private const val KV_BYTES = 20 * 1024
private val stageRanges = listOf(LayerRange(0, 2), LayerRange(2, 4), LayerRange(4, 6), LayerRange(6, 8))
private val tokenInterval = 43.milliseconds
private val stepTime = 10.milliseconds
private val prefillTime = 30.microseconds
private val latency = 700.microseconds

/** Longest gap between two tokens at the caller, and whether the answer was the expected one. */
internal class TrialResult(val stall: Duration, val isAnswerCorrect: Boolean)

/** A request whose chain loses a stage at a random moment after its twentieth token. */
internal class StallTrial(private val case: RecoveryCase, seed: Long) {
    private val cluster = VirtualCluster(
        seed,
        stageRanges,
        replicas = 2,
        speed = VirtualSpeed(latency, case.link.bytesPerSecond, POSITION_BYTES, KV_BYTES, stepTime, prefillTime),
        stageSettings = case.strategy.stage,
        streamSettings = case.strategy.stream,
        forecast = case.strategy.forecast,
    )
    private var isCrashScheduled = false
    private var restarts = 0

    fun run(): TrialResult {
        val spec = cluster.spec("first", case.promptTokens, TOKENS, 10.minutes)
        cluster.entry.onToken = { if (it.tokens.size == CRASH_AFTER_TOKENS) scheduleCrash() }
        cluster.entry.onEnd = { if (it.failed != null) restart(it) }
        cluster.entry.open(spec)
        while (cluster.entry.answers.values.none { it.finished != null }) cluster.run(tokenInterval)
        val answers = cluster.entry.answers.values.toList()
        val isAnswerCorrect = answers.last().tokens == answers.last().reference(cluster.layers)
        return TrialResult(stall(arrivals(answers)), isAnswerCorrect)
    }

    private fun scheduleCrash() {
        if (isCrashScheduled) return
        isCrashScheduled = true
        cluster.time.after(tokenInterval * cluster.random.nextDouble()) {
            cluster.stages.filter { it.sequences > 0 }.random(cluster.random).crash(case.strategy.isCrashSilent)
        }
    }

    /** Requests the whole answer again, as a caller without recovery does. */
    private fun restart(failed: VirtualAnswer) {
        val timeout = 10.minutes
        val spec = cluster.spec("again-${restarts++}", case.promptTokens, failed.spec.maxTokens, timeout)
        cluster.time.after(Duration.ZERO) { cluster.entry.open(spec) }
    }

    /** Times at which each token of the answer first reached the caller. */
    private fun arrivals(answers: List<VirtualAnswer>): List<Moment> = List(TOKENS) { index ->
        answers.mapNotNull { it.times.getOrNull(index) }.min()
    }

    private fun stall(arrivals: List<Moment>): Duration = arrivals.zipWithNext { earlier, later ->
        later - earlier
    }.max()
}
