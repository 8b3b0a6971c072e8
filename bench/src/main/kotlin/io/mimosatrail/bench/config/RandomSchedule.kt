package io.mimosatrail.bench.config

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.spread.SpreadSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longest time from the acceptance of a ticket until every process has it in force. */
internal val IN_FORCE_BOUND = 5.seconds

private const val STEPS = 60
private const val MAX_LOSS = 0.2

/**
 * Result of a schedule.
 *
 * [spread] is the time until every process had the last revision, null if that exceeded [IN_FORCE_BOUND]. [description]
 * lists the processes that are behind.
 */
internal class ScheduleResult(val spread: Duration?, val description: String)

/**
 * One randomised schedule. Faults of every kind begin and end while tickets are accepted. Then all faults but crashes
 * end, one more ticket is accepted, and it must be in force everywhere within [IN_FORCE_BOUND].
 */
internal class RandomSchedule(
    private val seed: Long,
    settings: SpreadSettings = SpreadSettings(),
    defect: SpreadDefect? = null,
) {
    private val random = Random(seed)
    private val fleet = SpreadSimulation(seed, settings, defect)
    private val places = List(random.nextInt(1, 6)) { PlaceId("place$it") }

    fun run(): ScheduleResult {
        places.forEach { place -> repeat(random.nextInt(2, 15)) { fleet.start(place) } }
        fleet.relist()
        repeat(STEPS) {
            step()
            fleet.run(500.milliseconds * random.nextDouble() * 2)
        }
        fleet.heal()
        fleet.store.accept()
        val spread = fleet.timeUntilInForceEverywhere(fleet.store.revision, IN_FORCE_BOUND)
        return ScheduleResult(spread, describe())
    }

    private fun step() {
        when (random.nextInt(14)) {
            in 0..3 -> if (!fleet.store.isDown) fleet.store.accept()
            4 -> fleet.store.isDown = !fleet.store.isDown
            5 -> fleet.store.latency = 3.milliseconds * random.nextInt(1, 200)
            6 -> fleet.cutPlace(places.random(random))
            7 -> fleet.cutFromStore(places.random(random))
            12 -> fleet.loss = MAX_LOSS * random.nextDouble()
            13 -> if (random.nextBoolean()) fleet.heal() else fleet.relist()
            else -> injectProcessFault()
        }
    }

    private fun injectProcessFault() {
        when (random.nextInt(4)) {
            0 -> fleet.aliveNodes.randomOrNull(random)?.let { fleet.isolate(it) }
            1 -> replace()
            2 -> fleet.aliveNodes.randomOrNull(random)?.pause()
            else -> fleet.aliveNodes.filter { it.isPaused }.randomOrNull(random)?.resume()
        }
    }

    private fun replace() {
        val candidates = fleet.aliveNodes.filter { it.isRelay }.ifEmpty { fleet.aliveNodes }
        candidates.random(random).crash()
        if (random.nextInt(4) > 0) fleet.start(places.random(random))
    }

    private fun describe(): String {
        val behind = fleet.aliveNodes.filter { it.revision < fleet.store.revision }
        return "seed $seed: ${places.size} places, ${fleet.aliveNodes.size} processes, " +
            "revision ${fleet.store.revision}, behind: ${behind.joinToString { "${it.id} at ${it.revision}" }}"
    }
}
