package io.mimosatrail.core.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class Coverage(val ranges: List<Pair<Int, Int>>, val layers: Int, val covered: Boolean)

class LayerRangeTest :
    FunSpec({
        context("covers() requires every layer exactly once and in order") {
            withData(
                Coverage(listOf(0 to 4, 4 to 8), 8, true),
                Coverage(listOf(0 to 8), 8, true),
                Coverage(listOf(0 to 4, 5 to 8), 8, false),
                Coverage(listOf(0 to 5, 4 to 8), 8, false),
                Coverage(listOf(4 to 8, 0 to 4), 8, false),
                Coverage(listOf(0 to 4), 8, false),
                Coverage(listOf(0 to 4, 4 to 9), 8, false),
                Coverage(emptyList(), 8, false),
            ) { case ->
                case.ranges.map { LayerRange(it.first, it.second) }.covers(case.layers) shouldBe case.covered
            }
        }
    })
