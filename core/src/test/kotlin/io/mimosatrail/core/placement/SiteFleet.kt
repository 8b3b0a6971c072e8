package io.mimosatrail.core.placement

import io.mimosatrail.core.id.AcceleratorKind
import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Profile of a 70B model in 80 layers on four kinds of accelerators. */
internal val siteProfile = EngineProfile(
    layers = 80,
    layerMegabytes = 1_750.0,
    kvMegabytesPerLayer = 0.010567,
    step = 850.microseconds,
    stepPerSequence = 5_473.nanoseconds,
    stepPerThousandTokens = 7_336.nanoseconds,
    promptTokensPerSecond = 196_000.0,
    slots = 134,
    activationBytes = 42_268,
    crossPlaceBytesPerSecond = 1.125e9,
    usualPromptTokens = 772,
    usualOutputTokens = 172,
    fullLoadTime = 14.seconds,
    kinds = mapOf(
        AcceleratorKind("h100") to AcceleratorProfile(72_000.0, 1.4, 1.0),
        AcceleratorKind("a100s") to AcceleratorProfile(36_000.0, 3.1, 3.2),
        AcceleratorKind("l4") to AcceleratorProfile(21_600.0, 16.0, 8.2),
        AcceleratorKind("t4") to AcceleratorProfile(14_400.0, 15.0, 15.0),
    ),
)

private val siteCounts = mapOf(
    "lulea" to mapOf("a100s" to 2, "l4" to 4, "t4" to 7),
    "umea" to mapOf("h100" to 1, "a100s" to 1, "l4" to 5, "t4" to 7),
    "kiruna" to mapOf("a100s" to 1, "l4" to 8, "t4" to 3),
)

/** The 39 engines of a site in three places; none holds layers. */
internal fun siteFleet(): List<PlannedEngine> = siteCounts.flatMap { (place, kinds) ->
    kinds.flatMap { (kind, count) ->
        (1..count).map { number ->
            val accelerator = siteProfile.kinds.getValue(AcceleratorKind(kind))
            PlannedEngine(InstanceId("$place-$kind-$number"), PlaceId(place), accelerator, held = null)
        }
    }
}
