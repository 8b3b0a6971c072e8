package io.mimosatrail.core.path

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.covers
import io.mimosatrail.core.placement.PlacementPlanner
import io.mimosatrail.core.placement.PlacementSettings
import io.mimosatrail.core.placement.siteFleet
import io.mimosatrail.core.placement.siteProfile
import kotlin.random.Random

private const val SEED = 20_261_204
private const val SEARCHES = 300

private val umea = PlaceId("umea")
private val typicalDemand = PathDemand(promptTokens = 772, outputTokens = 172, place = umea)

private fun engines(without: Set<String> = emptySet(), used: (InstanceId) -> Double = { 0.0 }): List<PathEngine> {
    val plan = PlacementPlanner(siteProfile, PlacementSettings()).plan(siteFleet())
    return siteFleet().filter { it.id.value !in without }.mapNotNull { engine ->
        val layers = plan[engine.id] ?: return@mapNotNull null
        val capacity = siteProfile.kvCapacityTokens(engine.accelerator, layers.size).toDouble() * layers.size
        PathEngine(
            id = engine.id,
            address = PeerAddress(engine.id.value, 80),
            place = engine.place,
            accelerator = engine.accelerator,
            layers = layers,
            sequences = 0.0,
            tokenLayers = capacity * used(engine.id),
            tokenLayerCapacity = capacity,
            slowness = 1.0,
        )
    }
}

private fun EnginePath.places() = segments.map { it.engine.place }.distinct()

private fun EnginePath.isValid() = segments.map { it.layers }.covers(siteProfile.layers) &&
    segments.all { it.layers intersect it.engine.layers == it.layers } &&
    segments.distinctBy { it.engine.id }.size == segments.size

class PathSearchTest :
    FunSpec({
        test("on an idle fleet a path stays in the place of the stream") {
            for (place in listOf("lulea", "umea", "kiruna").map(::PlaceId)) {
                val path = PathSearch(siteProfile).best(engines(), typicalDemand.copy(place = place)).shouldNotBeNull()
                path.isValid() shouldBe true
                path.places() shouldContainExactly listOf(place)
            }
        }

        test("a path avoids engines with a full KV cache") {
            val full = setOf("umea-a100s-1", "umea-l4-2")
            val path = PathSearch(siteProfile)
                .best(engines { if (it.value in full) 1.2 else 0.3 }, typicalDemand).shouldNotBeNull()
            path.segments.map { it.engine.id.value }.filter { it in full }.shouldBeEmpty()
        }

        test("if the engines of a place are full and links may not be crossed, the whole path is in another place") {
            val path = PathSearch(siteProfile, mayCross = { _, _ -> false })
                .best(engines { if (it.value.startsWith("umea")) 1.2 else 0.0 }, typicalDemand).shouldNotBeNull()
            path.places().size shouldBe 1
        }

        test("a slow engine runs fewer layers if another engine holds them too") {
            val idle = PathSearch(siteProfile).best(engines(), typicalDemand).shouldNotBeNull()
            val slowed = idle.segments.first { segment ->
                engines().count { it.place == umea && it.layers intersect segment.layers != null } > 1
            }.engine.id
            val fleet = engines().map { if (it.id == slowed) it.copy(slowness = 50.0) else it }
            val path = PathSearch(siteProfile).best(fleet, typicalDemand).shouldNotBeNull()
            val slowedLayers = path.segments.filter { it.engine.id == slowed }.sumOf { it.layers.size }
            val idleLayers = idle.segments.first { it.engine.id == slowed }.layers.size
            slowedLayers.toDouble() shouldBeLessThan idleLayers.toDouble()
        }

        test("a running stream keeps its first segment") {
            val first = PathSearch(siteProfile).best(engines(), typicalDemand).shouldNotBeNull().segments.first()
            val lost = PathSearch(siteProfile).best(engines(), typicalDemand).shouldNotBeNull().segments[1].engine.id
            val fleet = engines().filter { it.id != lost && it.id != first.engine.id }
            val path = PathSearch(siteProfile).best(fleet, typicalDemand, first).shouldNotBeNull()
            path.segments.first() shouldBe first
            path.isValid() shouldBe true
        }

        test("a new path does not begin at an engine that may not be first, a running stream may stay on it") {
            val first = PathSearch(siteProfile).best(engines(), typicalDemand).shouldNotBeNull().segments.first()
            val limited = engines().map { if (it.id == first.engine.id) it.copy(mayBeFirst = false) else it }
            val elsewhere = PathSearch(siteProfile).best(limited, typicalDemand).shouldNotBeNull()
            elsewhere.isValid() shouldBe true
            (elsewhere.segments.first().engine.id == first.engine.id) shouldBe false
            val kept = PathSearch(siteProfile).best(limited, typicalDemand, first).shouldNotBeNull()
            kept.segments.first() shouldBe first
        }

        test("there is no path if a layer has no holder") {
            val fleet = engines().filter { it.layers intersect LayerRange(40, 41) == null }
            PathSearch(siteProfile).best(fleet, typicalDemand).shouldBeNull()
        }

        test("paths on random fleets run every layer once, in order, on engines that hold it") {
            val random = Random(SEED)
            repeat(SEARCHES) { number ->
                withClue("seed $SEED, search $number") {
                    val fleet = engines { random.nextDouble(1.3) }.filter { random.nextInt(8) > 0 }
                        .map { it.copy(slowness = 1 + random.nextDouble(6.0), sequences = random.nextDouble(80.0)) }
                    val demand = PathDemand(random.nextInt(1, 2_280), random.nextInt(1, 430), umea)
                    PathSearch(siteProfile).best(fleet, demand)?.let { it.isValid() shouldBe true }
                }
            }
        }
    })
