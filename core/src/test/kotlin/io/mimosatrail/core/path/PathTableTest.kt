package io.mimosatrail.core.path

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.placement.siteProfile
import kotlin.random.Random

private const val SEED = 20_261_204
private const val FLEETS = 400
private const val LAYERS = 6

private val places = listOf("north", "south").map(::PlaceId)
private val profile = siteProfile.copy(layers = LAYERS)

private fun Random.engine(number: Int): PathEngine {
    val first = nextInt(LAYERS)
    return PathEngine(
        id = InstanceId("engine-$number"),
        address = PeerAddress("engine-$number", 80),
        place = places.random(this),
        accelerator = profile.kinds.values.random(this),
        layers = LayerRange(first, nextInt(first + 1, LAYERS + 1)),
        sequences = nextDouble(50.0),
        tokenLayers = nextDouble(90_000.0),
        tokenLayerCapacity = 100_000.0,
        slowness = nextDouble(1.0, 3.0),
    )
}

/** All paths over the layers from [boundary] on whose segments end where a layer range begins or ends. */
private fun paths(engines: List<PathEngine>, boundary: Int): List<List<PathSegment>> {
    if (boundary == LAYERS) return listOf(emptyList())
    return engines.filter { boundary in it.layers.first until it.layers.end }.flatMap { engine ->
        val ends = engines.map { it.layers.first }.filter { it > boundary && it < engine.layers.end }
        (ends + engine.layers.end).distinct().flatMap { end ->
            paths(engines, end).map { listOf(PathSegment(engine, LayerRange(boundary, end))) + it }
        }
    }
}

private fun PathCosts.of(path: List<PathSegment>, from: PlaceId): Double {
    val segments = path.sumOf { segmentMillis(it.engine, it.layers.size, allLayersMillis(it.engine)) }
    val crossings = path.zipWithNext { segment, next -> crossingMillis(segment.engine.place, next.engine.place) }.sum()
    return entryMillis(from, path.first().engine.place) + segments + crossings
}

class PathTableTest :
    FunSpec({
        test("the expected time on an engine grows with its number of streams and with their contexts") {
            val costs = PathCosts(profile, PathSettings(), PathDemand(772, 172, places.first())) { _, _ -> true }
            val idle = Random(SEED).engine(1).copy(sequences = 0.0, tokenLayers = 0.0)
            val busy = idle.copy(sequences = 40.0)
            val full = busy.copy(tokenLayers = 40_000.0 * idle.layers.size)
            costs.allLayersMillis(idle) shouldBeLessThan costs.allLayersMillis(busy)
            costs.allLayersMillis(busy) shouldBeLessThan costs.allLayersMillis(full)
        }

        test("on random fleets the path found is as cheap as the best path of an exhaustive search") {
            val random = Random(SEED)
            repeat(FLEETS) { number ->
                withClue("seed $SEED, fleet $number") {
                    val engines = List(random.nextInt(2, 7)) { random.engine(it) }
                    val demand = PathDemand(random.nextInt(1, 2_000), random.nextInt(1, 400), places.random(random))
                    val costs = PathCosts(profile, PathSettings(), demand) { _, _ -> true }
                    val found = PathTable(LAYERS, engines, costs).search(demand.place, null, mayEndEarly = true)
                    val best =
                        paths(engines, 0).minOfOrNull { costs.of(it, demand.place) } ?: Double.POSITIVE_INFINITY
                    val cost = found?.let { costs.of(it.segments, demand.place) } ?: Double.POSITIVE_INFINITY
                    if (best.isInfinite()) cost shouldBe best else cost shouldBe best.plusOrMinus(best * 1e-9)
                }
            }
        }
    })
