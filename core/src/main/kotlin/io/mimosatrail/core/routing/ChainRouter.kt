package io.mimosatrail.core.routing

import io.mimosatrail.core.config.ModelPool
import io.mimosatrail.core.config.PoolPreference
import io.mimosatrail.core.pipeline.Chain
import io.mimosatrail.core.pipeline.LayerRange
import io.mimosatrail.core.pipeline.Stage
import io.mimosatrail.core.time.Moment
import kotlin.random.Random

/** Chooses a few upstreams of a group to be weighed against each other. */
typealias GroupSampler = (group: LayerGroup, now: Moment) -> List<UpstreamRow>

private const val CHOICES = 2
private const val RESTORE_MICROS_PER_LAYER = 1_000.0
private const val SPARES_OF_NONE = 0.1

/** Chooses chains over the rows of [table]. Not thread-safe. */
class ChainRouter(
    private val table: UpstreamTable,
    random: Random,
    private val link: LinkCost = placeDistance,
    private val score: UpstreamScore = ::predictedTime,
    private val sampler: GroupSampler = { group, _ -> someAtRandom(group.members, CHOICES, random) },
) {
    /** A chain that covers the layers of the request's pool, or null where none can. */
    fun chooseChain(request: ChainRequest, now: Moment): Chain? {
        val candidates = groups(request, now).flatMap { candidates(it, request, now) }
        val chosen = cheapestChain(candidates, request.pool.layers, link, sumOfTimes) ?: return null
        chosen.forEach { it.row.sent.add(now) }
        return chosen.toChain(request.pool)
    }

    /** An upstream that holds exactly [layers], or null where none may be used. */
    fun chooseStage(request: ChainRequest, layers: LayerRange, now: Moment): Stage? {
        val group = groups(request, now).firstOrNull { it.layers == layers } ?: return null
        val chosen = candidates(group, request, now).minByOrNull { it.micros } ?: return null
        chosen.row.sent.add(now)
        return chosen.toStage()
    }

    /** Where all upstreams of a range of layers are ejected, the one that returns first stays in use. */
    private fun groups(request: ChainRequest, now: Moment): List<LayerGroup> {
        val serving = table.serving(request.pool.id, now).toSet()
        val usable = table.usable(request.pool.id).filter { it.id !in request.excluded }
        return layerGroups(usable, request.pool).map { group ->
            val members = group.members.filter { it in serving }
            LayerGroup(group.layers, members.ifEmpty { listOf(group.members.minBy { it.ejectionEnd(now) }) })
        }
    }

    private fun UpstreamRow.ejectionEnd(now: Moment): Moment = health.ejectedUntil ?: now

    private fun candidates(group: LayerGroup, request: ChainRequest, now: Moment): List<StageCandidate> {
        val risk = if (request.pool.preference == PoolPreference.RECOVERY) recoveryRisk(group) else 0.0
        return sampler(group, now).map { StageCandidate(it, group, score(it, now) + risk) }
    }
}

/** Time that the loss of a stage would cost, in microseconds: more for more layers, less for more spares. */
private fun recoveryRisk(group: LayerGroup): Double {
    val spares = group.members.size - 1
    return RESTORE_MICROS_PER_LAYER * group.layers.size / (spares + SPARES_OF_NONE)
}

/** Groups [rows] by layer range, leaving out those that hold another model, version or shape than [pool] says. */
internal fun layerGroups(rows: List<UpstreamRow>, pool: ModelPool): List<LayerGroup> = rows
    .filter { it.holds(pool) }
    .groupBy { checkNotNull(it.description?.engine).layers }
    .map { (layers, members) -> LayerGroup(layers, members) }

private fun UpstreamRow.holds(pool: ModelPool): Boolean {
    val engine = description?.engine ?: return false
    return engine.model == pool.model &&
        engine.version == pool.version &&
        engine.modelLayers == pool.layers &&
        engine.adapters.containsAll(pool.adapters)
}

/** [count] of [members] at random, or all where there are no more. */
fun someAtRandom(members: List<UpstreamRow>, count: Int, random: Random): List<UpstreamRow> {
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
