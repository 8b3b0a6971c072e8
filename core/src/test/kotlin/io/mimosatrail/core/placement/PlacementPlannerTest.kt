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

private fun roomOf(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>) = engines.minOf { engine ->
    siteProfile.tokenRoom(engine.accelerator, plan[engine.id]?.size ?: 1)
}

private fun weakestLayer(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>): Int =
    (0 until siteProfile.layers).minOf { layer ->
        engines.sumOf { engine ->
            val held = plan[engine.id]
            if (held == null ||
                layer < held.first ||
                layer >= held.end
            ) {
                0
            } else {
                siteProfile.tokenRoom(engine.accelerator, held.size)
            }
        }
    }

private fun moves(engines: List<PlannedEngine>, plan: Map<InstanceId, LayerRange>) =
    engines.count { it.held != plan[it.id] }

class PlacementPlannerTest :
    FunSpec({
        test("each place of a site holds the whole model, with room for 40,000 tokens on each engine") {
            val plan = planner.plan(siteFleet())
            siteFleet().groupBy { it.place }.values.forEach { uncovered(it, plan).shouldBeEmpty() }
            overfilled(siteFleet(), plan).shouldBeEmpty()
            roomOf(siteFleet(), plan) shouldBeGreaterThanOrEqual 40_000
        }

        test("the plan depends neither on the order of the engines nor on chance") {
            planner.plan(siteFleet().shuffled(Random(SEED))) shouldBe planner.plan(siteFleet())
        }

        test("a standing plan is kept") {
            val plan = planner.plan(siteFleet())
            planner.plan(siteFleet().holding(plan)) shouldBe plan
        }

        context("the layers of a lost engine are taken over by few others of its place") {
            withData(nameFn = { "$it" }, siteFleet().map { it.id.value }) { lost ->
                val plan = planner.plan(siteFleet())
                val left = siteFleet().filter { it.id.value != lost }.holding(plan)
                val next = planner.plan(left)
                val place = siteFleet().first { it.id.value == lost }.place
                uncovered(left.filter { it.place == place }, next).shouldBeEmpty()
                overfilled(left, next).shouldBeEmpty()
                moves(left, next) shouldBeLessThanOrEqual 5
            }
        }

        test("once a lost engine is replaced, the room of the weakest layer comes back within a few plans") {
            val plan = planner.plan(siteFleet())
            val lost = siteFleet().first { it.id.value == "umea-a100s-1" }
            var engines = siteFleet().filter { it.id != lost.id }.holding(plan)
            repeat(4) { engines = engines.holding(planner.plan(engines)) }
            engines = engines + lost.copy(id = InstanceId("umea-a100s-2"))
            repeat(8) { engines = engines.holding(planner.plan(engines)) }
            val umea = engines.filter { it.place == lost.place }
            weakestLayer(umea, umea.associateHeld()).toDouble() shouldBeGreaterThan
                0.8 * weakestLayer(umea, planner.plan(umea.map { it.copy(held = null) }))
        }

        test("an engine that joins empty is used and moves no other") {
            val plan = planner.plan(siteFleet())
            val joined = PlannedEngine(InstanceId("new"), PlaceId("umea"), siteFleet().first().accelerator, held = null)
            val engines = siteFleet().holding(plan) + joined
            moves(engines, planner.plan(engines)) shouldBe 1
        }

        test("places that are too small for the model form one group") {
            val engines = siteFleet().map { it.copy(place = PlaceId("${it.place}-${it.id.value.last()}")) }
            val plan = planner.plan(engines)
            uncovered(engines, plan).shouldBeEmpty()
        }

        test("random fleets with losses and joins are covered wherever they can be, and never overfilled") {
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
                        engines = engines.change(random)
                    }
                }
            }
        }
    })

private fun List<PlannedEngine>.associateHeld(): Map<InstanceId, LayerRange> =
    mapNotNull { engine -> engine.held?.let { engine.id to it } }.toMap()

private fun holdsModel(group: List<PlannedEngine>) =
    group.sumOf { siteProfile.layersWithRoom(it.accelerator, PlacementSettings().mostTokens) } >= siteProfile.layers

private fun List<PlannedEngine>.change(random: Random): List<PlannedEngine> = mapNotNull { engine ->
    when (random.nextInt(12)) {
        0 -> null
        1 -> engine.copy(held = null)
        else -> engine
    }
}
