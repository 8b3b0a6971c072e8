package io.mimosatrail.core.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.pipeline.simulation.VirtualAnswer
import io.mimosatrail.core.pipeline.simulation.VirtualCluster
import io.mimosatrail.core.pipeline.simulation.VirtualSpeed
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val SEED = 4L
internal val threeStages = listOf(LayerRange(0, 3), LayerRange(3, 5), LayerRange(5, 8))

/** Runs one request and calls [fault] with the stages it uses once it has [after] tokens. */
private fun run(
    cluster: VirtualCluster,
    tokens: Int = 40,
    after: Int = 10,
    fault: (VirtualCluster, Int) -> Unit = { _, _ -> },
): VirtualAnswer {
    cluster.entry.onToken = { if (it.tokens.size == after) fault(cluster, it.tokens.size) }
    val spec = cluster.spec("heater-summary", 50, tokens, 1.minutes)
    cluster.entry.open(spec)
    cluster.run(90.seconds)
    return cluster.entry.answers.getValue(spec.id)
}

private fun VirtualCluster.busy(range: Int) =
    stages.first { it.stage.layers == threeStages[range] && it.sequences > 0 && !it.crashed }

private fun VirtualAnswer.shouldBeWhole(cluster: VirtualCluster) {
    failed shouldBe null
    finished shouldBe FinishReason.LENGTH
    ends shouldBe 1
    tokens shouldBe reference(cluster.layers)
    cluster.violations.shouldBeEmpty()
    cluster.stages.filter { !it.crashed }.sumOf { it.sequences } shouldBe 0
}

class StreamRecoveryTest :
    FunSpec({
        test("an answer without failures is the reference and frees every KV cache") {
            val cluster = VirtualCluster(SEED, threeStages)
            run(cluster).shouldBeWhole(cluster)
        }

        test("a chain of one stage goes on with its own tokens") {
            val cluster = VirtualCluster(SEED, listOf(LayerRange(0, 8)))
            run(cluster).shouldBeWhole(cluster)
        }

        context("a stage that dies is replaced and the others keep their KV cache") {
            withData(
                nameFn = { "stage ${it.first}, snapshots every ${it.second}" },
                listOf(0, 1, 2).flatMap { stage ->
                    listOf(0, 4).map {
                        stage to
                            it
                    }
                },
            ) { (stage, snapshots) ->
                val cluster =
                    VirtualCluster(SEED, threeStages, stageSettings = StageSettings(snapshotTokens = snapshots))
                val answer = run(cluster) { all, _ -> all.busy(stage).crash() }
                answer.shouldBeWhole(cluster)
                answer.ways shouldContain RecoveryWay.REPLACE
                answer.ways shouldNotContain RecoveryWay.REROUTE
            }
        }

        test("a machine that vanishes without closing its connections is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).crash(silent = true) }
            answer.shouldBeWhole(cluster)
            answer.ways shouldContain RecoveryWay.REPLACE
        }

        test("two stages that die together lead to a new chain that runs the delivered tokens again") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> listOf(0, 2).forEach { all.busy(it).crash() } }
            answer.shouldBeWhole(cluster)
            answer.ways shouldContain RecoveryWay.REROUTE
        }

        test("without room for retained state a new chain is taken") {
            val cluster = VirtualCluster(SEED, threeStages, stageSettings = StageSettings(retainedBytes = 100))
            val answer = run(cluster) { all, _ -> all.busy(1).crash() }
            answer.shouldBeWhole(cluster)
            answer.ways shouldContain RecoveryWay.REROUTE
        }

        test("a stage that slows down a hundredfold is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).slowdown = 100 }
            answer.shouldBeWhole(cluster)
            answer.ways shouldContain RecoveryWay.REPLACE
        }

        test("a slow stage without replacement is waited for") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster, tokens = 20) { all, _ -> all.busy(1).slowdown = 100 }
            answer.shouldBeWhole(cluster)
            answer.ways.shouldBeEmpty()
        }

        test("a paused stage without replacement is waited for") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster) { all, _ -> all.busy(1).pausedUntil = all.time.now + 5.seconds }
            answer.shouldBeWhole(cluster)
        }

        test("a dead stage without replacement ends the stream at once with an error") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster) { all, _ -> all.busy(1).crash() }
            answer.failed?.reason shouldBe RefusalReason.PEER_LOST
            answer.failed?.outcome shouldBe Outcome.RAN
            answer.finished shouldBe null
        }

        test("a long prompt over slow links is not taken for a failure") {
            val speed = VirtualSpeed(bytesPerSecond = 1e5, positionBytes = 120)
            val cluster = VirtualCluster(SEED, threeStages, speed = speed)
            val spec = cluster.spec("long", 2_000, 20, 1.minutes)
            cluster.entry.open(spec)
            cluster.run(90.seconds)
            val answer = cluster.entry.answers.getValue(spec.id)
            answer.shouldBeWhole(cluster)
            answer.ways.shouldBeEmpty()
        }

        test("a slow engine moves few streams at once") {
            val cluster = VirtualCluster(SEED, threeStages)
            repeat(30) { cluster.entry.open(cluster.spec("advisory-$it", 20, 300, 1.minutes)) }
            cluster.run(1.seconds)
            cluster.stages.forEach { it.slowdown = 60 }
            cluster.run(1.seconds)
            cluster.entry.answers.values.sumOf { it.ways.size } shouldBeLessThanOrEqual 8
        }

        test("a silent link is noticed although the connection stays open") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ ->
                all.link(all.busy(0).stage.address, all.busy(1).stage.address).silent = true
            }
            answer.shouldBeWhole(cluster)
        }

        test("a restarted stage that lost its state is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).apply { crash() }.restart() }
            answer.shouldBeWhole(cluster)
        }

        test("stages free a request whose entry died") {
            val cluster = VirtualCluster(SEED, threeStages)
            run(cluster, tokens = 1_000) { all, _ -> all.entry.crashed = true }
            cluster.stages.sumOf { it.sequences } shouldBe 0
        }

        test("a caller that leaves cancels the chain") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster, tokens = 1_000) { all, _ -> all.entry.cancel(all.entry.answers.keys.first()) }
            answer.tokens.size shouldBe 10
            cluster.stages.sumOf { it.sequences } shouldBe 0
        }

        test("leaving stages refuse a new request, which truly did not run") {
            val cluster = VirtualCluster(SEED, threeStages)
            cluster.stages.forEach { it.drain() }
            val answer = run(cluster)
            answer.failed?.outcome shouldBe Outcome.NOT_RUN
            answer.failed?.reason shouldBe RefusalReason.DRAINING
            cluster.stages.sumOf { it.sequences } shouldBe 0
        }

        test("leaving stages finish what is in flight") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.stages.forEach { it.drain() } }
            answer.shouldBeWhole(cluster)
            answer.ways.shouldBeEmpty()
        }

        test("state kept for recovery stays within its bound") {
            val cluster = VirtualCluster(SEED, threeStages, stageSettings = StageSettings(retainedBytes = 1_000))
            var within = true
            cluster.entry.onToken = { within = within && cluster.stages.all { it.retainedBytes <= 1_000 } }
            repeat(5) { cluster.entry.open(cluster.spec("advisory-$it", 30, 60, 1.minutes)) }
            cluster.run(90.seconds)
            within.shouldBeTrue()
        }

        test("a passed deadline ends the stream with an error") {
            val cluster = VirtualCluster(SEED, threeStages)
            val spec = cluster.spec("late", 50, 100_000, 2.seconds)
            cluster.entry.open(spec)
            cluster.run(10.seconds)
            val answer = cluster.entry.answers.getValue(spec.id)
            answer.failed?.reason shouldBe RefusalReason.DEADLINE
            answer.failed?.outcome shouldBe Outcome.RAN
            cluster.stages.sumOf { it.sequences } shouldBe 0
        }
    })
