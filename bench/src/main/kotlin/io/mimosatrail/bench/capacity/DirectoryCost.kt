package io.mimosatrail.bench.capacity

import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.ChainRouter
import io.mimosatrail.core.routing.UpstreamTable
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val MODELS = 12
private val runnerCounts = listOf(40, 200, 400, 600)

/** Costs of an entry's table of upstreams by number of runners, and of models. */
internal fun directorySeries(quick: Boolean, seed: Long): List<Series> {
    val times = if (quick) 300 else 3_000
    return listOf(
        Series("chain choice", "us", "runner", runnerCounts, WARM_UPS) { choiceMicros(it, MODELS, times, seed) },
        Series("chain choice with 600 runners", "us", "model", listOf(4, 8, 16, 32), WARM_UPS) {
            choiceMicros(600, it, times, seed)
        },
        Series("directory memory", "bytes", "runner", runnerCounts) { heapBytes { table(it, MODELS) } },
        Series("instance list update", "us", "runner", runnerCounts, WARM_UPS) { listMicros(it) },
    )
}

private fun table(runners: Int, models: Int): UpstreamTable {
    val table = UpstreamTable()
    table.onList(List(runners) { listRow(it, models) }, Moment(0))
    repeat(runners) { table.onDescribed(description(it, models), Moment(0)) }
    return table
}

private fun choiceMicros(runners: Int, models: Int, times: Int, seed: Long): Double {
    val router = ChainRouter(table(runners, models), Random(seed))
    val now = Moment(0) + 60.seconds
    return threadMicros(times) {
        checkNotNull(router.chooseChain(ChainRequest(pool(it % models), 200), now))
    }
}

private fun listMicros(runners: Int): Double {
    val table = table(runners, MODELS)
    val lists = List(2) { List(runners) { listRow(it, MODELS) } }
    return threadMicros(200) { table.onList(lists[it % 2], Moment(0)) }
}
