package io.mimosatrail.bench.model

import io.mimosatrail.core.id.InstanceId
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.membership.InstanceEntry
import io.mimosatrail.core.membership.InstanceRole
import io.mimosatrail.core.net.PeerAddress
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.routing.ChainRequest
import io.mimosatrail.core.routing.UpstreamTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val TICK: Duration = 100.milliseconds
private const val MAX_DESCRIBES_PER_TICK = 32

/** An entry with the real upstream table and a routing policy, whose messages take virtual time. */
internal class EntryModel(private val fleet: FleetModel, index: Int, policy: RoutePolicy, random: Random) {
    private val loop = fleet.loop
    private val openStreams = HashMap<InstanceId, Int>()
    private val choose: RouteChoice

    val table = UpstreamTable()
    val self = InstanceEntry(
        InstanceId("entry-$index"),
        InstanceRole.ENTRY,
        PlaceId("north-${index % 3 + 1}"),
        PeerAddress("10.1.0.${index + 1}", 7_000),
    )

    init {
        choose = policy.build(table, random) { openStreams[it] ?: 0 }
        loop.every(TICK, ::tick)
    }

    fun choose(promptTokens: Int, excluded: Set<InstanceId> = emptySet()): Chain? =
        choose(ChainRequest(fleet.pool, promptTokens, excluded), loop.now)

    fun onOpened(chain: Chain) = chain.stages.forEach { openStreams.merge(it.instance, 1, Int::plus) }

    fun onClosed(chain: Chain) = chain.stages.forEach { openStreams.merge(it.instance, -1, Int::plus) }

    private fun tick() {
        table.onList(fleet.runners.map { it.entry }, loop.now)
        table.takeDue(loop.now, MAX_DESCRIBES_PER_TICK).forEach { row -> describe(fleet.byId.getValue(row.id)) }
    }

    private fun describe(runner: RunnerModel) {
        val latency = linkLatency(self, runner.entry)
        loop.after(latency) {
            if (!runner.isAlive) return@after loop.after(TICK) { table.onLost(runner.id, loop.now) }
            val description = runner.describe()
            loop.after(latency) { table.onDescribed(description, loop.now) }
        }
    }
}
