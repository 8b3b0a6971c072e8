package io.mimosatrail.bench.recovery

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.ModelId
import io.mimosatrail.core.id.RequestId
import io.mimosatrail.core.id.ServiceId
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.membership.UpstreamDescription
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.RefusalReason
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.FinishReason
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.pipeline.StageSettings
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.time.systemClock
import io.mimosatrail.daemon.entry.directory.UpstreamDirectory
import io.mimosatrail.daemon.entry.stream.ModelRequest
import io.mimosatrail.daemon.entry.stream.StreamEvent
import io.mimosatrail.daemon.entry.stream.StreamRouter
import io.mimosatrail.daemon.sidecar.stage.StageRunner
import io.mimosatrail.standins.engine.EngineFaults
import io.mimosatrail.standins.engine.EngineSettings
import io.mimosatrail.standins.engine.EngineStandin
import io.mimosatrail.upstream.HttpEngineClient
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.minutes

private val ranges = listOf(LayerRange(0, 3), LayerRange(3, 6), LayerRange(6, 8))
private val pool = ModelPool(ServiceId("inspection-pool"), ModelId("inspection"), 8)

private object NoDirectory : UpstreamDirectory {
    override fun upstreamsOf(service: ServiceId): List<UpstreamDescription> = emptyList()

    override fun onLoad(instance: InstanceId, load: UpstreamLoad) = Unit

    override fun onRefused(instance: InstanceId, reason: RefusalReason) = Unit

    override fun onLost(instance: InstanceId) = Unit
}

/** A sidecar with its engine. */
private class TestSidecar(val node: TestNode, val engine: EngineStandin, val runner: StageRunner, val stage: Stage) {
    fun stop() {
        node.kill()
        engine.stop()
    }
}

private suspend fun sidecar(name: String, layers: LayerRange): TestSidecar {
    val engine = EngineStandin(EngineSettings(firstLayer = layers.first, endLayer = layers.end)).start()
    val node = TestNode.start(name, InstanceRole.SIDECAR)
    val runner = StageRunner(node.host, HttpEngineClient(engine.url), StageSettings(snapshotTokens = 8))
    runner.start()
    return TestSidecar(node, engine, runner, Stage(InstanceId(name), node.address, layers))
}

/** An entry and two sidecars per layer range. */
private class TestPipeline(val entry: TestNode, val sidecars: List<TestSidecar>) {
    val router = StreamRouter(entry.host, ::chain, ::stage, NoDirectory).also { it.start() }
    val model = sidecars.first().engine.toyModel

    fun request(name: String, tokens: Int = 200) = ModelRequest(
        RequestId(name),
        WorkspaceId("norrland"),
        pool,
        name.map { it.code },
        tokens,
        10,
        systemClock() + 1.minutes,
    )

    fun recoveries(): Double = entry.host.meters.find("mimosatrail.stream.recoveries").counters().sumOf { it.count() }

    fun stop() {
        sidecars.forEach { it.stop() }
        entry.kill()
    }

    private fun chain(request: ChainRequest): Chain? = Chain(ranges.map { stage(request, it) ?: return null })

    private fun stage(request: ChainRequest, range: LayerRange): Stage? =
        sidecars.map { it.stage }.firstOrNull { it.layers == range && it.instance !in request.excluded }
}

private suspend fun withPipeline(block: suspend TestPipeline.() -> Unit) {
    val sidecars = ranges.flatMapIndexed { i, range -> List(2) { sidecar("stage-$i-$it", range) } }
    val pipeline = TestPipeline(TestNode.start("entry", InstanceRole.ENTRY), sidecars)
    try {
        withTimeout(1.minutes) { pipeline.block() }
    } finally {
        pipeline.stop()
    }
}

private fun TestPipeline.completeAnswer(request: ModelRequest): List<StreamEvent> =
    model.generate(request.prompt, request.maxTokens).mapIndexed { i, token -> StreamEvent.Token(i, token) } +
        StreamEvent.Finished(FinishReason.LENGTH)

private data class Failure(val name: String, val inject: TestSidecar.() -> Unit)

class StreamOverPeersTest :
    FunSpec({
        test("concurrent callers each receive their own complete answer") {
            withPipeline {
                coroutineScope {
                    val requests = List(20) { request("Which heaters of section $it need attention?") }
                    val answers = requests.map { async { router.open(it).toList() } }.awaitAll()
                    answers shouldContainExactly requests.map { completeAnswer(it) }
                }
            }
        }

        context("an answer is complete and unchanged after a failure in the middle of it") {
            val failures = listOf(
                Failure("process killed") { node.kill() },
                Failure("engine dead") { engine.faults.set(EngineFaults(dead = true)) },
                Failure("engine silent") { engine.faults.set(EngineFaults(frozen = true)) },
            )
            val cases = failures.flatMap { failure -> ranges.indices.map { failure to it } }
            withData(nameFn = { (failure, at) -> "${failure.name} at stage $at" }, cases) { (failure, at) ->
                withPipeline {
                    val modelRequest = request("Summarise the inspection of stage $at")
                    val events = mutableListOf<StreamEvent>()
                    router.open(modelRequest).collect {
                        events += it
                        if (events.size == 10) failure.inject(sidecars[2 * at])
                    }
                    events shouldContainExactly completeAnswer(modelRequest)
                    recoveries() shouldBeGreaterThan 0.0
                }
            }
        }

        test("the KV caches are freed when a caller disconnects") {
            withPipeline {
                router.open(request("cancelled", tokens = 2_000)).take(5).toList()
                sidecars.forEach { it.runner.awaitDrained() }
                router.awaitDrained()
            }
        }

        test("a draining entry refuses new streams as not run and finishes those in flight") {
            withPipeline {
                val modelRequest = request("in flight")
                val events = mutableListOf<StreamEvent>()
                router.open(modelRequest).collect {
                    events += it
                    router.startDraining()
                    sidecars.forEach { sidecar -> sidecar.runner.startDraining() }
                }
                events shouldContainExactly completeAnswer(modelRequest)
                val refused = router.open(request("late")).toList().single() as StreamEvent.Failed
                refused.refusal.outcome shouldBe Outcome.NOT_RUN
                router.awaitDrained()
            }
        }
    })
