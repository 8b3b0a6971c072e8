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

/** What the callers of a random run saw that they should not have. */
private class Faults(val wrong: List<String>, val whole: Int)

private fun randomRun(seed: Long, checks: PipelineChecks = PipelineChecks()): Pair<VirtualCluster, Faults> {
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
    cluster.spread = 1 + setup.nextInt(2) * 3
    repeat(6) { i ->
        cluster.time.after(500.milliseconds * cluster.random.nextDouble()) {
            cluster.entry.open(cluster.spec("request-$i", 1 + cluster.random.nextInt(40), 30, 30.seconds))
        }
    }
    repeat(3) { scheduleFault(cluster) }
    cluster.run(1.minutes)
    return cluster to faultsOf(cluster)
}

/** Delivers one frame for the second stage to the third. */
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

private fun faultsOf(cluster: VirtualCluster): Faults {
    val answers = cluster.entry.answers.values
    val wrong = answers.filter { !it.isTrue(cluster) }
    val cut = answers.filter { it.finished != null && it.tokens.size != it.spec.maxTokens }
    val ends = answers.filter { it.ends != 1 }
    val left = cluster.stages.filter { !it.crashed && it.sequences > 0 }
    val texts = wrong.map { "${it.spec.id} got other tokens" } +
        cut.map { "${it.spec.id} was cut" } +
        ends.map { "${it.spec.id} ended ${it.ends} times" } +
        left.map { "${it.stage.instance} holds ${it.sequences} sequences" }
    return Faults(texts, answers.count { it.finished != null })
}

private data class SwitchedOff(val name: String, val checks: () -> PipelineChecks)

class RandomStreamsTest :
    FunSpec({
        test("under random faults every delivered token follows from those before and nothing is left behind") {
            var whole = 0
            var recovered = 0
            checkAll(PropTestConfig(seed = SEED, iterations = runs), Arb.long()) { seed ->
                val (cluster, faults) = randomRun(seed)
                faults.wrong.shouldBeEmpty()
                cluster.violations.shouldBeEmpty()
                whole += faults.whole
                recovered += cluster.entry.answers.values.sumOf { it.ways.size }
            }
            println(
                "streams: $runs schedules of seed $SEED, $whole of ${runs * 6} answers whole, $recovered recoveries",
            )
            recovered shouldBeGreaterThan runs
        }

        test("a skipped stage is noticed, and without the trail check the answer would be wrong") {
            val guarded = skippedStage(PipelineChecks())
            guarded.violations.shouldNotBeEmpty()
            faultsOf(guarded).wrong.shouldBeEmpty()
            faultsOf(guarded).whole shouldBe 0
            faultsOf(skippedStage(PipelineChecks(trail = false))).wrong.shouldNotBeEmpty()
        }

        context("the run notices a check that is switched off") {
            withData(
                nameFn = { it.name },
                SwitchedOff("generation") { PipelineChecks(generation = false) },
                SwitchedOff("duplicates") { PipelineChecks(duplicates = false) },
            ) { case ->
                val noticed = (0L until 40L).count { randomRun(it, case.checks()).second.wrong.isNotEmpty() }
                noticed shouldBeGreaterThan 0
            }
        }
    })
