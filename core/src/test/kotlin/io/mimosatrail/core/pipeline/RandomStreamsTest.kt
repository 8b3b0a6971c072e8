package io.mimosatrail.core.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.mimosatrail.core.pipeline.simulation.VirtualCluster
import io.mimosatrail.core.pipeline.simulation.VirtualFaults
import io.mimosatrail.core.pipeline.simulation.VirtualSpeed
import io.mimosatrail.core.pipeline.simulation.VirtualStage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L
private val runs = System.getProperty("stream.schedules")?.toInt() ?: 400

/** Result of a run: descriptions of wrong behaviour and the number of completed answers. */
private class RunResult(val errors: List<String>, val completed: Int)

private fun randomRun(seed: Long, checks: PipelineChecks = PipelineChecks()): Pair<VirtualCluster, RunResult> {
    val setup = kotlin.random.Random(seed)
    val cluster = VirtualCluster(
        seed,
        threeStages,
        replicas = 3,
        speed = VirtualSpeed(),
        faults = VirtualFaults(
            drop = setup.nextDouble() * 0.01,
            duplicate = setup.nextDouble() * 0.1,
            reorder = setup.nextDouble() * 0.1,
        ),
        stageSettings = StageSettings(snapshotTokens = setup.nextInt(6)),
        streamSettings = StreamSettings(),
        forecast = observedForecast,
        checks = checks,
    )
    cluster.sampleChoices = 1 + setup.nextInt(2) * 3
    repeat(6) { i ->
        cluster.time.after(500.milliseconds * cluster.random.nextDouble()) {
            cluster.entry.open(cluster.spec("request-$i", 1 + cluster.random.nextInt(40), 30, 30.seconds))
        }
    }
    repeat(3) { scheduleFault(cluster) }
    cluster.run(1.minutes)
    return cluster to resultOf(cluster)
}

/** Delivers every frame for the second stage to the third. */
private fun skippedStage(checks: PipelineChecks): VirtualCluster {
    val cluster = VirtualCluster(
        SEED,
        threeStages,
        1,
        VirtualSpeed(),
        VirtualFaults(),
        StageSettings(),
        StreamSettings(),
        observedForecast,
        checks,
    )
    cluster.misdeliver = { message, to ->
        if (message is Frame && message.nextLayer == 3) cluster.stages.last().stage.address else to
    }
    cluster.entry.open(cluster.spec("summary", 20, 10, 30.seconds))
    cluster.run(1.minutes)
    return cluster
}

private fun scheduleFault(cluster: VirtualCluster) {
    cluster.time.after(2.seconds * cluster.random.nextDouble()) {
        val stage = cluster.stages.random(cluster.random)
        when (cluster.random.nextInt(7)) {
            0 -> stage.crash()
            1 -> restartLater(cluster, stage)
            2 -> stage.pausedUntil = cluster.time.now + 3.seconds * cluster.random.nextDouble()
            3 -> stage.slowdown = 100
            4 -> stage.crash(silent = true)
            5 -> stage.drain()
            else -> cluster.entry.pausedUntil = cluster.time.now + 1.seconds * cluster.random.nextDouble()
        }
    }
}

private fun restartLater(cluster: VirtualCluster, stage: VirtualStage) {
    stage.crash()
    cluster.time.after(100.milliseconds) { stage.restart() }
}

private fun resultOf(cluster: VirtualCluster): RunResult {
    val answers = cluster.entry.answers.values
    val invalid = answers.filter { !it.isValid(cluster) }
    val wrongLength = answers.filter { it.finished != null && it.tokens.size != it.spec.maxTokens }
    val ends = answers.filter { it.ends != 1 }
    val withSequences = cluster.stages.filter { !it.crashed && it.sequences > 0 }
    val errors = invalid.map { "${it.spec.id} received tokens that the model does not generate" } +
        wrongLength.map { "${it.spec.id} finished with the wrong number of tokens" } +
        ends.map { "${it.spec.id} ended ${it.ends} times" } +
        withSequences.map { "${it.stage.instance} still holds ${it.sequences} sequences" }
    return RunResult(errors, answers.count { it.finished != null })
}

private data class DisabledCheck(val name: String, val checks: () -> PipelineChecks)

class RandomStreamsTest :
    FunSpec({
        test("under random faults callers receive valid tokens, streams end once and no stage keeps a sequence") {
            var completed = 0
            var recovered = 0
            checkAll(PropTestConfig(seed = SEED, iterations = runs), Arb.long()) { seed ->
                val (cluster, result) = randomRun(seed)
                result.errors.shouldBeEmpty()
                cluster.violations.shouldBeEmpty()
                completed += result.completed
                recovered += cluster.entry.answers.values.sumOf { it.strategies.size }
            }
            println(
                "streams: $runs schedules of seed $SEED, $completed of ${runs * 6} completed, $recovered recoveries",
            )
            recovered shouldBeGreaterThan runs
        }

        test("a skipped stage is detected, and without the trail check the answer is wrong") {
            val guarded = skippedStage(PipelineChecks())
            guarded.violations.shouldNotBeEmpty()
            resultOf(guarded).errors.shouldBeEmpty()
            resultOf(guarded).completed shouldBe 0
            resultOf(skippedStage(PipelineChecks(trail = false))).errors.shouldNotBeEmpty()
        }

        context("random runs detect a disabled check") {
            withData(
                nameFn = { it.name },
                DisabledCheck("generation") { PipelineChecks(generation = false) },
                DisabledCheck("duplicates") { PipelineChecks(duplicates = false) },
            ) { case ->
                val failingRuns = (0L until 40L).count { randomRun(it, case.checks()).second.errors.isNotEmpty() }
                failingRuns shouldBeGreaterThan 0
            }
        }
    })
