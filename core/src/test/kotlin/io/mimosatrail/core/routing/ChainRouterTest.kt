package io.mimosatrail.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.membership.UpstreamLoad
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.covers
import kotlin.random.Random

private const val SEED = 20_261_204L

private fun router(table: UpstreamTable) = ChainRouter(table, Random(SEED))

private fun slow(micros: Long) = UpstreamLoad(meanStepMicros = micros)

/** True if some sequence of the ranges covers [layers]; an independent search to check the router against. */
private fun coverable(ranges: Set<LayerRange>, layers: Int, from: Int = 0): Boolean =
    from == layers || ranges.any { it.first == from && coverable(ranges, layers, it.end) }

class ChainRouterTest :
    FunSpec({
        context("chains over layer ranges") {
            data class Case(val name: String, val runners: List<Runner>, val chain: List<String>?)
            withData(
                nameFn = { case: Case -> case.name },
                Case("one runner with all layers", listOf(Runner("a", 0, 4)), listOf("a")),
                Case("two halves", listOf(Runner("b", 2, 4), Runner("a", 0, 2)), listOf("a", "b")),
                Case("a gap", listOf(Runner("a", 0, 2), Runner("b", 3, 4)), null),
                Case("an overlap", listOf(Runner("a", 0, 3), Runner("b", 2, 4)), null),
                Case("no upstream", emptyList(), null),
                Case(
                    "a runner of another model is left out",
                    listOf(Runner("a", 0, 4, model = "other"), Runner("b", 0, 4)),
                    listOf("b"),
                ),
                Case(
                    "two fast halves are preferred to one slow runner",
                    listOf(Runner("w", 0, 4, slow(9_000)), Runner("a", 0, 2), Runner("b", 2, 4)),
                    listOf("a", "b"),
                ),
            ) { case ->
                val table = tableOf(4, *case.runners.toTypedArray())
                val chain = router(table).chooseChain(ChainRequest(pool(4), 10), warm)
                chain?.stages?.map { it.instance.value } shouldBe case.chain
            }
        }

        context("preference of the pool") {
            data class Case(val preference: PoolPreference, val stages: Int)
            withData(
                nameFn = { case: Case -> case.preference.name },
                Case(PoolPreference.THROUGHPUT, stages = 1),
                Case(PoolPreference.RECOVERY, stages = 2),
            ) { case ->
                val spared = List(3) { listOf(Runner("a$it", 0, 2), Runner("b$it", 2, 4)) }.flatten()
                val table = tableOf(4, Runner("fast and alone", 0, 4, slow(1_100)), *spared.toTypedArray())
                val request = ChainRequest(pool(4, case.preference), 10)
                router(table).chooseChain(request, warm).shouldNotBeNull().stages.size shouldBe case.stages
            }
        }

        test("every chain covers each layer once, and a chain is found whenever one exists") {
            val ranges = Arb.list(Arb.pair(Arb.int(0..5), Arb.int(1..4)), 0..10)
            checkAll(PropTestConfig(seed = SEED, iterations = 500), ranges) { pairs ->
                val runners = pairs.mapIndexed { i, (first, size) -> Runner("r$i", first, first + size) }
                val table = tableOf(6, *runners.toTypedArray())
                val chain = router(table).chooseChain(ChainRequest(pool(6), 10), warm)
                val exists = coverable(runners.map { LayerRange(it.first, it.end) }.toSet(), 6)
                (chain != null) shouldBe exists
                if (chain != null) chain.stages.map { it.layers }.covers(6) shouldBe true
            }
        }

        test("excluded instances are left out of chains and stages") {
            val table = tableOf(4, Runner("a", 0, 2), Runner("b", 0, 2), Runner("c", 2, 4))
            val request = ChainRequest(pool(4), 10, setOf(InstanceId("a")))
            val router = router(table)
            router.chooseChain(request, warm).shouldNotBeNull().first.instance.value shouldBe "b"
            router.chooseStage(request, LayerRange(0, 2), warm).shouldNotBeNull().instance.value shouldBe "b"
            router.chooseStage(request, LayerRange(0, 4), warm).shouldBeNull()
        }

        test("the chain stays in one place since links between places are slow") {
            val near = arrayOf(Runner("a", 0, 2, place = "lulea"), Runner("b", 2, 4, place = "lulea"))
            val far = Runner("c", 2, 4, slow(900), place = "umea")
            val table = tableOf(4, *near, far)
            val chain = router(table).chooseChain(ChainRequest(pool(4), 10), warm).shouldNotBeNull()
            chain.stages.map { it.instance.value } shouldBe listOf("a", "b")
        }

        test("requests are distributed by the step times of the runners before any load report arrives") {
            val table = tableOf(4, Runner("fast", 0, 4, slow(1_000)), Runner("slow", 0, 4, slow(4_000)))
            val router = router(table)
            val chains = List(100) { router.chooseChain(ChainRequest(pool(4), 10), warm).shouldNotBeNull() }
            chains.count { it.first.instance.value == "slow" } shouldBe 15
        }

        test("a runner that has just recovered gets fewer requests at first") {
            val table = tableOf(4, Runner("new", 0, 4), Runner("old", 0, 4))
            table.onLost(InstanceId("new"), warm)
            val back = checkNotNull(table[InstanceId("new")]?.health?.ejectedUntil)
            val router = router(table)
            val chains = List(100) { router.chooseChain(ChainRequest(pool(4), 10), back).shouldNotBeNull() }
            chains.count { it.first.instance.value == "new" } shouldBe 15
        }
    })
