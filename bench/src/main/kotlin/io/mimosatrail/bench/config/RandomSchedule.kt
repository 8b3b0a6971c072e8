package io.mimosatrail.bench.config

import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.spread.SpreadSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Bound within which a change is in force everywhere. */
internal val IN_FORCE_BOUND = 5.seconds

private const val STEPS = 60
private const val MAX_LOSS = 0.2

/** How a run ended: the time until the last process had the last revision, null where that was over the bound. */
internal class ScheduleEnd(val spread: Duration?, val described: String)

/**
 * One randomised run: faults of every kind come and go while tickets are accepted; then everything but the crashed
 * processes heals, one more ticket is accepted, and it has to be in force everywhere within the bound.
 */
internal class RandomSchedule(
    private val seed: Long,
    settings: SpreadSettings = SpreadSettings(),
    fault: DeliberateFault? = null,
) {
    private val random = Random(seed)
    private val fleet = SpreadSimulation(seed, settings, fault)
    private val places = List(random.nextInt(1, 6)) { PlaceId("place$it") }

    fun run(): ScheduleEnd {
        places.forEach { place -> repeat(random.nextInt(2, 15)) { fleet.start(place) } }
        fleet.relist()
        repeat(STEPS) {
            step()
            fleet.run(500.milliseconds * random.nextDouble() * 2)
        }
        fleet.heal()
        fleet.store.accept()
        val spread = fleet.timeUntilEverywhere(fleet.store.revision, IN_FORCE_BOUND)
        return ScheduleEnd(spread, describe())
    }

    private fun step() {
        when (random.nextInt(14)) {
            in 0..3 -> if (!fleet.store.outage) fleet.store.accept()
            4 -> fleet.store.outage = !fleet.store.outage
            5 -> fleet.store.latency = 3.milliseconds * random.nextInt(1, 200)
            6 -> fleet.cut(places.random(random))
            7 -> fleet.cutFromStore(places.random(random))
            12 -> fleet.loss = MAX_LOSS * random.nextDouble()
            13 -> if (random.nextBoolean()) fleet.heal() else fleet.relist()
            else -> strikeProcess()
        }
    }

    private fun strikeProcess() {
        when (random.nextInt(4)) {
            0 -> fleet.living.randomOrNull(random)?.let { fleet.isolate(it) }
            1 -> replace()
            2 -> fleet.living.randomOrNull(random)?.pause()
            else -> fleet.living.filter { it.paused }.randomOrNull(random)?.resume()
        }
    }

    private fun replace() {
        val victims = fleet.living.filter { it.isRelay }.ifEmpty { fleet.living }
        victims.random(random).crash()
        if (random.nextInt(4) > 0) fleet.start(places.random(random))
    }

    private fun describe(): String {
        val behind = fleet.living.filter { it.revision < fleet.store.revision }
        return "seed $seed: ${places.size} places, ${fleet.living.size} processes, revision ${fleet.store.revision}, " +
            "behind: ${behind.joinToString { "${it.id} at ${it.revision}" }}"
    }
}
