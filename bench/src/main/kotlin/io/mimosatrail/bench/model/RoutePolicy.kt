package io.mimosatrail.bench.model

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.ChainRouter
import io.mimosatrail.core.routing.UpstreamTable
import io.mimosatrail.core.time.Moment
import kotlin.random.Random

/** Chooses a chain for a request, or null if no chain is available. */
internal typealias RouteChoice = (ChainRequest, Moment) -> Chain?

/** A named routing policy. `open` of [build] returns the number of the entry's open requests at an instance. */
internal class RoutePolicy(
    val name: String,
    val build: (table: UpstreamTable, random: Random, open: (InstanceId) -> Int) -> RouteChoice,
)

/** The production policy: the router of `core` with its default score. */
internal val predictedTimePolicy = RoutePolicy("predicted time") { table, random, _ ->
    ChainRouter(table, random)::chooseChain
}

/** Policies for comparison. They use the same chain search, but choose differently within a layer range. */
internal val baselinePolicies = listOf(
    RoutePolicy("round robin") { table, random, _ ->
        val turns = HashMap<LayerRange, Int>()
        ChainRouter(table, random, score = { _, _ -> random.nextDouble() }, sampler = { group, _ ->
            listOf(group.members[turns.merge(group.layers, 1, Int::plus)!! % group.members.size])
        })::chooseChain
    },
    RoutePolicy("least connections") { table, random, open ->
        ChainRouter(table, random, score = { row, _ -> open(row.id) + random.nextDouble() }, sampler = { group, _ ->
            group.members
        })::chooseChain
    },
    RoutePolicy("random") { table, random, _ ->
        ChainRouter(table, random, score = { _, _ -> random.nextDouble() }, sampler = { group, _ ->
            listOf(group.members.random(random))
        })::chooseChain
    },
)
