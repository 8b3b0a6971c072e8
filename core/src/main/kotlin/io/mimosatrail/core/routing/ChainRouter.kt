package io.mimosatrail.core.routing

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.time.Moment
import kotlin.random.Random

/** Chooses the upstreams of a group whose scores are compared. */
typealias GroupSampler = (group: LayerGroup, now: Moment) -> List<UpstreamRow>

/** Random choice of two, of which the cheaper one is used ("power of two choices"). */
private const val SAMPLE_SIZE = 2
private const val RESTORE_MICROS_PER_LAYER = 1_000.0

/** Prevents a division by zero: a group without spares counts as a tenth of a spare. */
private const val SPARES_OFFSET = 0.1

/** Chooses chains and single stages from the upstreams of [table]. Not thread-safe. */
class ChainRouter(
    private val table: UpstreamTable,
    random: Random,
    private val link: LinkCost = placeLinkCost,
    private val score: UpstreamScore = ::predictedTime,
    private val sampler: GroupSampler = { group, _ -> randomSample(group.members, SAMPLE_SIZE, random) },
) {
    /**
     * A chain that covers the layers of the request's pool, or null if there is none. Counts the request as sent to the
     * chosen upstreams.
     */
    fun chooseChain(request: ChainRequest, now: Moment): Chain? {
        val candidates = groups(request, now).flatMap { candidates(it, request, now) }
        val chosen = cheapestChain(candidates, request.pool.layers, link, sumOfTimes) ?: return null
        chosen.forEach { it.row.sentSinceReport.add(now) }
        return chosen.toChain(request.pool)
    }

    /** A stage that holds exactly [layers], or null if there is none. Counts the request as sent to its upstream. */
    fun chooseStage(request: ChainRequest, layers: LayerRange, now: Moment): Stage? {
        val group = groups(request, now).firstOrNull { it.layers == layers } ?: return null
        val chosen = candidates(group, request, now).minByOrNull { it.micros } ?: return null
        chosen.row.sentSinceReport.add(now)
        return chosen.toStage()
    }

    /** Usable upstreams by layer range. If all of a range are ejected, the one whose ejection ends first is used. */
    private fun groups(request: ChainRequest, now: Moment): List<LayerGroup> {
        val serving = table.serving(request.pool.id, now).toSet()
        val usable = table.servingOrEjected(request.pool.id).filter { it.id !in request.excluded }
        return layerGroups(usable, request.pool).map { group ->
            val members = group.members.filter { it in serving }
            LayerGroup(group.layers, members.ifEmpty { listOf(group.members.minBy { it.ejectionEnd(now) }) })
        }
    }

    private fun UpstreamRow.ejectionEnd(now: Moment): Moment = health.ejectedUntil ?: now

    private fun candidates(group: LayerGroup, request: ChainRequest, now: Moment): List<StageCandidate> {
        val lossCost = if (request.pool.preference == PoolPreference.RECOVERY) recoveryCost(group) else 0.0
        return sampler(group, now).map { StageCandidate(it, group, score(it, now) + lossCost) }
    }
}

/** Estimated cost of losing a stage, in microseconds. Grows with its layers, shrinks with the number of spares. */
private fun recoveryCost(group: LayerGroup): Double {
    val spares = group.members.size - 1
    return RESTORE_MICROS_PER_LAYER * group.layers.size / (spares + SPARES_OFFSET)
}

/**
 * Groups [rows] by layer range. Leaves out upstreams that differ from [pool] in model, version or number of layers, or
 * lack one of its adapters.
 */
internal fun layerGroups(rows: List<UpstreamRow>, pool: ModelPool): List<LayerGroup> = rows
    .filter { it.serves(pool) }
    .groupBy { checkNotNull(it.description?.engine).layers }
    .map { (layers, members) -> LayerGroup(layers, members) }

private fun UpstreamRow.serves(pool: ModelPool): Boolean {
    val engine = description?.engine ?: return false
    return engine.model == pool.model &&
        engine.version == pool.version &&
        engine.modelLayers == pool.layers &&
        engine.adapters.containsAll(pool.adapters)
}

/** A random sample of [count] distinct [members]; all of them if there are not more than [count]. */
fun randomSample(members: List<UpstreamRow>, count: Int, random: Random): List<UpstreamRow> {
    if (members.size <= count) return members
    val chosen = LinkedHashSet<Int>(count * 2)
    while (chosen.size < count) chosen += random.nextInt(members.size)
    return chosen.map { members[it] }
}

private fun List<StageCandidate>.toChain(pool: ModelPool): Chain {
    val chain = Chain(map { it.toStage() })
    check(chain.covers(pool.layers)) { "chain ${chain.stages} does not cover ${pool.layers} layers" }
    return chain
}

private fun StageCandidate.toStage() = Stage(row.id, row.entry.address, group.layers)
