package io.mimosatrail.core.placement

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.pipeline.LayerRange
import kotlin.random.Random

private const val SEED = 20_261_204
private const val FLEETS = 200

private val planner = PlacementPlanner(siteProfile, PlacementSettings())

private fun List<PlannedEngine>.holding(plan: Map<InstanceId, LayerRange>) = map { it.copy(held = plan[it.id]) }

private fun uncovered(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>): List<Int> =
    (0 until siteProfile.layers).filter { layer ->
        engines.none { engine -> plan[engine.id]?.let { layer >= it.first && layer < it.end } ?: false }
    }

private fun overfilled(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>) = engines.filter { engine ->
    (plan[engine.id]?.size ?: 0) * siteProfile.layerMegabytes > engine.accelerator.memoryMegabytes
}

private fun leastCapacity(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>) = engines.minOf { engine ->
    siteProfile.kvCapacityTokens(engine.accelerator, plan[engine.id]?.size ?: 1)
}

private fun weakestLayerCapacity(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>): Int =
    (0 until siteProfile.layers).minOf { layer ->
        engines.sumOf { engine ->
            val held = plan[engine.id]
            if (held == null ||
                layer < held.first ||
                layer >= held.end
            ) {
                0
            } else {
                siteProfile.kvCapacityTokens(engine.accelerator, held.size)
            }
        }
    }

private fun changedEngines(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>) =
    engines.count { it.held != plan[it.id] }

class PlacementPlannerTest :
    FunSpec({
        test("each place of a site holds the whole model, with KV cache for 40,000 tokens on each engine") {
            val plan = planner.plan(siteFleet())
            siteFleet().groupBy { it.place }.values.forEach { uncovered(it, plan).shouldBeEmpty() }
            overfilled(siteFleet(), plan).shouldBeEmpty()
            leastCapacity(siteFleet(), plan) shouldBeGreaterThanOrEqual 40_000
        }

        test("the plan is deterministic and does not depend on the order of the engines") {
            planner.plan(siteFleet().shuffled(Random(SEED))) shouldBe planner.plan(siteFleet())
        }

        test("a plan that is already in place does not change") {
            val plan = planner.plan(siteFleet())
            planner.plan(siteFleet().holding(plan)) shouldBe plan
        }

        context("few engines of the same place take over the layers of a lost engine") {
            withData(nameFn = { "$it" }, siteFleet().map { it.id.value }) { lost ->
                val plan = planner.plan(siteFleet())
                val remaining = siteFleet().filter { it.id.value != lost }.holding(plan)
                val next = planner.plan(remaining)
                val place = siteFleet().first { it.id.value == lost }.place
                uncovered(remaining.filter { it.place == place }, next).shouldBeEmpty()
                overfilled(remaining, next).shouldBeEmpty()
                changedEngines(remaining, next) shouldBeLessThanOrEqual 5
            }
        }

        test("after a lost engine is replaced, the weakest layer regains its capacity within a few plans") {
            val plan = planner.plan(siteFleet())
            val lost = siteFleet().first { it.id.value == "umea-a100s-1" }
            var engines = siteFleet().filter { it.id != lost.id }.holding(plan)
            repeat(4) { engines = engines.holding(planner.plan(engines)) }
            engines = engines + lost.copy(id = InstanceId("umea-a100s-2"))
            repeat(8) { engines = engines.holding(planner.plan(engines)) }
            val umea = engines.filter { it.place == lost.place }
            weakestLayerCapacity(umea, umea.associateHeld()).toDouble() shouldBeGreaterThan
                0.8 * weakestLayerCapacity(umea, planner.plan(umea.map { it.copy(held = null) }))
        }

        test("a new engine gets layers, and no other engine changes") {
            val plan = planner.plan(siteFleet())
            val joined = PlannedEngine(InstanceId("new"), PlaceId("umea"), siteFleet().first().accelerator, held = null)
            val engines = siteFleet().holding(plan) + joined
            changedEngines(engines, planner.plan(engines)) shouldBe 1
        }

        test("places that are too small for the model hold it together") {
            val engines = siteFleet().map { it.copy(place = PlaceId("${it.place}-${it.id.value.last()}")) }
            val plan = planner.plan(engines)
            uncovered(engines, plan).shouldBeEmpty()
        }

        test("random fleets with lost and restarted engines cover the model if they can and fit in memory") {
            val random = Random(SEED)
            repeat(FLEETS) { number ->
                withClue("seed $SEED, fleet $number") {
                    var engines = siteFleet()
                    repeat(6) {
                        engines = engines.holding(planner.plan(engines))
                        overfilled(engines, engines.associateHeld()).shouldBeEmpty()
                        if (engines.groupBy { it.place }.values.any(::holdsModel)) {
                            uncovered(engines, engines.associateHeld()).shouldBeEmpty()
                        }
                        engines = engines.loseAndRestart(random)
                    }
                }
            }
        }
    })

private fun List<PlannedEngine>.associateHeld(): Map<InstanceId, LayerRange> =
    mapNotNull { engine -> engine.held?.let { engine.id to it } }.toMap()

private fun holdsModel(group: List<PlannedEngine>) =
    group.sumOf { siteProfile.maxLayers(it.accelerator, PlacementSettings().maxTokens) } >= siteProfile.layers

private fun List<PlannedEngine>.loseAndRestart(random: Random): List<PlannedEngine> = mapNotNull { engine ->
    when (random.nextInt(12)) {
        0 -> null
        1 -> engine.copy(held = null)
        else -> engine
    }
}
