package io.mimosatrail.bench.config

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.mimosatrail.core.id.ConfigRevision
import io.mimosatrail.core.id.PlaceId
import io.mimosatrail.core.spread.SpreadSettings
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L
private const val SCHEDULES = 300
private val placeNames = listOf("lulea", "umea", "kiruna").map { PlaceId(it) }

private fun fleet(perPlace: Int = 10, settings: SpreadSettings = SpreadSettings(), defect: SpreadDefect? = null) =
    SpreadSimulation(SEED, settings, defect).apply {
        placeNames.forEach { place -> repeat(perPlace) { start(place) } }
        relist()
        store.accept()
        run(10.seconds)
    }

private fun SpreadSimulation.shouldConverge() = withClue(aliveNodes.joinToString { "${it.id} at ${it.revision}" }) {
    timeUntilInForceEverywhere(store.revision, IN_FORCE_BOUND).shouldNotBeNull()
}

private data class FaultCase(val name: String, val inject: SpreadSimulation.() -> Unit) {
    override fun toString() = name
}

class SpreadSimulationTest :
    FunSpec({
        test("random schedules never revert a process and end in force everywhere within 5 s (from seed $SEED)") {
            (0 until SCHEDULES).map { RandomSchedule(SEED + it).run() }
                .filter { it.spread == null }
                .map { it.description }
                .shouldBeEmpty()
        }

        test("processes of a small place agree on which of them watch the store (found by seed 20261231)") {
            val fleet = fleet(perPlace = 3)
            placeNames.map { place -> fleet.aliveNodes.count { it.isRelay && it.member.place == place } } shouldBe
                listOf(2, 2, 2)
        }

        context("a ticket is in force everywhere within 5 s if") {
            withData(
                nameFn = { it.name },
                FaultCase("there is no fault") {},
                FaultCase("every relay has just crashed") { aliveNodes.filter { it.isRelay }.forEach { it.crash() } },
                FaultCase("one of ten messages is lost") { loss = 0.1 },
                FaultCase("one place can't reach the store") { cutFromStore(placeNames[1]) },
                FaultCase("the store takes a third of a second") { store.latency = 150.seconds / 1_000 },
            ) { case ->
                val fleet = fleet()
                fleet.aliveNodes.all { it.isReady(fleet.now) }.shouldBeTrue()
                case.inject(fleet)
                fleet.store.accept()
                fleet.shouldConverge()
            }
        }

        test("paused relays don't delay the others, and catch up after the pause") {
            val fleet = fleet()
            val relays = fleet.aliveNodes.filter { it.isRelay }
            relays.forEach { it.pause() }
            fleet.run(3.minutes)
            fleet.store.accept()
            fleet.run(IN_FORCE_BOUND)
            fleet.aliveNodes.filterNot { it.isPaused }.filter { it.revision < fleet.store.revision }.shouldBeEmpty()
            relays.forEach { it.resume() }
            fleet.shouldConverge()
        }

        test("after a long pause a process is not ready until it has fetched the configuration again") {
            val fleet = fleet()
            val node = fleet.aliveNodes.first { !it.isRelay }
            node.pause()
            fleet.store.accept()
            fleet.run(3.minutes)
            node.isReady(fleet.now).shouldBeFalse()
            node.resume()
            node.isReady(fleet.now).shouldBeFalse()
            fleet.run(IN_FORCE_BOUND)
            node.isReady(fleet.now).shouldBeTrue()
            node.revision shouldBe fleet.store.revision
        }

        test("an isolated process reports that it is cut off and is ready again after it reconnects") {
            val fleet = fleet()
            val node = fleet.aliveNodes.first()
            fleet.isolate(node)
            fleet.run(15.seconds)
            node.isCutOff(fleet.now).shouldBeTrue()
            node.isReady(fleet.now).shouldBeFalse()
            fleet.heal()
            fleet.run(IN_FORCE_BOUND)
            node.isReady(fleet.now).shouldBeTrue()
        }

        test("a process that starts while the store is down fetches the configuration from its peers") {
            val fleet = fleet()
            fleet.store.isDown = true
            val node = fleet.start(placeNames[0])
            fleet.relist()
            fleet.run(IN_FORCE_BOUND)
            node.revision shouldBe ConfigRevision(1)
            node.isReady(fleet.now).shouldBeTrue()
        }

        test("a fleet that starts while the store is down is not ready until the store is back") {
            val fleet = SpreadSimulation(SEED)
            fleet.store.accept()
            fleet.store.isDown = true
            placeNames.forEach { place -> repeat(5) { fleet.start(place) } }
            fleet.relist()
            fleet.run(1.minutes)
            fleet.aliveNodes.filter { it.isReady(fleet.now) }.shouldBeEmpty()
            fleet.store.isDown = false
            fleet.run(IN_FORCE_BOUND)
            fleet.aliveNodes.filterNot { it.isReady(fleet.now) }.shouldBeEmpty()
        }

        test("a defect that accepts older revisions is detected") {
            shouldThrow<IllegalStateException> {
                (0 until 20).forEach { RandomSchedule(SEED + it, defect = SpreadDefect.ACCEPTS_OLDER).run() }
            }
        }

        test("a defect that drops notices is detected: without checks the time limit is exceeded") {
            val fleet = fleet(settings = SpreadSettings(checkPeriod = 1.hours), defect = SpreadDefect.DROPS_NOTICES)
            fleet.store.accept()
            fleet.timeUntilInForceEverywhere(fleet.store.revision, IN_FORCE_BOUND) shouldBe null
        }
    })
