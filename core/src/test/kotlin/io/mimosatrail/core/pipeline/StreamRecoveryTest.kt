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

/** Runs one request for [tokens] tokens and calls [fault] when the caller has received [after] of them. */
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

/** The running stage that holds a sequence for layer range [range] of [threeStages]. */
private fun VirtualCluster.busy(range: Int) =
    stages.first { it.stage.layers == threeStages[range] && it.sequences > 0 && !it.crashed }

private fun VirtualAnswer.shouldBeComplete(cluster: VirtualCluster) {
    failed shouldBe null
    finished shouldBe FinishReason.LENGTH
    ends shouldBe 1
    tokens shouldBe reference(cluster.layers)
    cluster.violations.shouldBeEmpty()
    cluster.stages.filter { !it.crashed }.sumOf { it.sequences } shouldBe 0
}

class StreamRecoveryTest :
    FunSpec({
        test("an answer without failures equals the reference and all KV caches are freed") {
            val cluster = VirtualCluster(SEED, threeStages)
            run(cluster).shouldBeComplete(cluster)
        }

        test("a chain of one stage feeds its sampled tokens back to itself") {
            val cluster = VirtualCluster(SEED, listOf(LayerRange(0, 8)))
            run(cluster).shouldBeComplete(cluster)
        }

        context("a crashed stage is replaced and the others keep their KV cache") {
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
                answer.shouldBeComplete(cluster)
                answer.strategies shouldContain RecoveryStrategy.REPLACE
                answer.strategies shouldNotContain RecoveryStrategy.REROUTE
            }
        }

        test("a stage that crashes without closing its connections is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).crash(silent = true) }
            answer.shouldBeComplete(cluster)
            answer.strategies shouldContain RecoveryStrategy.REPLACE
        }

        test("a crash of two stages at once is recovered by a new chain") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> listOf(0, 2).forEach { all.busy(it).crash() } }
            answer.shouldBeComplete(cluster)
            answer.strategies shouldContain RecoveryStrategy.REROUTE
        }

        test("a crash is recovered by a new chain when the retained state exceeds its limit") {
            val cluster = VirtualCluster(SEED, threeStages, stageSettings = StageSettings(retainedBytes = 100))
            val answer = run(cluster) { all, _ -> all.busy(1).crash() }
            answer.shouldBeComplete(cluster)
            answer.strategies shouldContain RecoveryStrategy.REROUTE
        }

        test("a stage that becomes 100 times slower is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).slowdown = 100 }
            answer.shouldBeComplete(cluster)
            answer.strategies shouldContain RecoveryStrategy.REPLACE
        }

        test("the stream waits for a slow stage that has no replacement") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster, tokens = 20) { all, _ -> all.busy(1).slowdown = 100 }
            answer.shouldBeComplete(cluster)
            answer.strategies.shouldBeEmpty()
        }

        test("the stream waits for a paused stage that has no replacement") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster) { all, _ -> all.busy(1).pausedUntil = all.time.now + 5.seconds }
            answer.shouldBeComplete(cluster)
        }

        test("a crashed stage without a replacement fails the stream") {
            val cluster = VirtualCluster(SEED, threeStages, replicas = 1)
            val answer = run(cluster) { all, _ -> all.busy(1).crash() }
            answer.failed?.reason shouldBe RefusalReason.PEER_LOST
            answer.failed?.outcome shouldBe Outcome.RAN
            answer.finished shouldBe null
        }

        test("a long prompt over slow links does not cause a recovery") {
            val speed = VirtualSpeed(bytesPerSecond = 1e5, positionBytes = 120)
            val cluster = VirtualCluster(SEED, threeStages, speed = speed)
            val spec = cluster.spec("long", 2_000, 20, 1.minutes)
            cluster.entry.open(spec)
            cluster.run(90.seconds)
            val answer = cluster.entry.answers.getValue(spec.id)
            answer.shouldBeComplete(cluster)
            answer.strategies.shouldBeEmpty()
        }

        test("only a limited number of streams moves away from slow engines at once") {
            val cluster = VirtualCluster(SEED, threeStages)
            repeat(30) { cluster.entry.open(cluster.spec("advisory-$it", 20, 300, 1.minutes)) }
            cluster.run(1.seconds)
            cluster.stages.forEach { it.slowdown = 60 }
            cluster.run(1.seconds)
            cluster.entry.answers.values.sumOf { it.strategies.size } shouldBeLessThanOrEqual 8
        }

        test("a stream recovers from a link that drops all messages while its connection stays open") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ ->
                all.link(all.busy(0).stage.address, all.busy(1).stage.address).silent = true
            }
            answer.shouldBeComplete(cluster)
        }

        test("a restarted stage that lost its state is replaced") {
            val cluster = VirtualCluster(SEED, threeStages)
            val answer = run(cluster) { all, _ -> all.busy(1).apply { crash() }.restart() }
            answer.shouldBeComplete(cluster)
        }

        test("stages free a request whose entry crashed") {
            val cluster = VirtualCluster(SEED, threeStages)
            run(cluster, tokens = 1_000) { all, _ -> all.entry.crashed = true }
            cluster.stages.sumOf { it.sequences } shouldBe 0
        }

        test("a caller that disconnects cancels the request at every stage") {
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
            answer.shouldBeComplete(cluster)
            answer.strategies.shouldBeEmpty()
        }

        test("state retained for recovery stays within its limit") {
            val cluster = VirtualCluster(SEED, threeStages, stageSettings = StageSettings(retainedBytes = 1_000))
            var withinLimit = true
            cluster.entry.onToken = { withinLimit = withinLimit && cluster.stages.all { it.retainedBytes <= 1_000 } }
            repeat(5) { cluster.entry.open(cluster.spec("advisory-$it", 30, 60, 1.minutes)) }
            cluster.run(90.seconds)
            withinLimit.shouldBeTrue()
        }

        test("a stream fails when its deadline passes") {
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
