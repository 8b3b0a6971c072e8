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

private fun fleet(perPlace: Int = 10, settings: SpreadSettings = SpreadSettings(), fault: DeliberateFault? = null) =
    SpreadSimulation(SEED, settings, fault).apply {
        placeNames.forEach { place -> repeat(perPlace) { start(place) } }
        relist()
        store.accept()
        run(10.seconds)
    }

private fun SpreadSimulation.shouldSpread() = withClue(living.joinToString { "${it.id} at ${it.revision}" }) {
    timeUntilEverywhere(store.revision, IN_FORCE_BOUND).shouldNotBeNull()
}

private data class Trouble(val name: String, val strike: SpreadSimulation.() -> Unit) {
    override fun toString() = name
}

class SpreadSimulationTest :
    FunSpec({
        test("random schedules never revert and end in force everywhere within 5 s (seeds $SEED and up)") {
            (0 until SCHEDULES).map { RandomSchedule(SEED + it).run() }
                .filter { it.spread == null }
                .map { it.described }
                .shouldBeEmpty()
        }

        test("processes of a small place agree on who watches the store (found by seed 20261231)") {
            val fleet = fleet(perPlace = 3)
            placeNames.map { place -> fleet.living.count { it.isRelay && it.member.place == place } } shouldBe
                listOf(2, 2, 2)
        }

        context("a ticket is in force everywhere within 5 s although") {
            withData(
                nameFn = { it.name },
                Trouble("nothing is wrong") {},
                Trouble("every relay has just died") { living.filter { it.isRelay }.forEach { it.crash() } },
                Trouble("one of ten messages is lost") { loss = 0.1 },
                Trouble("one place can't reach the store") { cutFromStore(placeNames[1]) },
                Trouble("the store takes a third of a second") { store.latency = 150.seconds / 1_000 },
            ) { case ->
                val fleet = fleet()
                fleet.living.all { it.isReady(fleet.now) }.shouldBeTrue()
                case.strike(fleet)
                fleet.store.accept()
                fleet.shouldSpread()
            }
        }

        test("paused relays don't hold up the others, and catch up when they wake") {
            val fleet = fleet()
            val relays = fleet.living.filter { it.isRelay }
            relays.forEach { it.pause() }
            fleet.run(3.minutes)
            fleet.store.accept()
            fleet.run(IN_FORCE_BOUND)
            fleet.living.filterNot { it.paused }.filter { it.revision < fleet.store.revision }.shouldBeEmpty()
            relays.forEach { it.resume() }
            fleet.shouldSpread()
        }

        test("a process that wakes from a long pause is not ready before it has asked anew") {
            val fleet = fleet()
            val node = fleet.living.first { !it.isRelay }
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

        test("a process cut off from everything says so and is ready again after it has joined") {
            val fleet = fleet()
            val node = fleet.living.first()
            fleet.isolate(node)
            fleet.run(15.seconds)
            node.isCutOff(fleet.now).shouldBeTrue()
            node.isReady(fleet.now).shouldBeFalse()
            fleet.heal()
            fleet.run(IN_FORCE_BOUND)
            node.isReady(fleet.now).shouldBeTrue()
        }

        test("a process that starts while the store is down takes the configuration of its peers") {
            val fleet = fleet()
            fleet.store.outage = true
            val node = fleet.start(placeNames[0])
            fleet.relist()
            fleet.run(IN_FORCE_BOUND)
            node.revision shouldBe ConfigRevision(1)
            node.isReady(fleet.now).shouldBeTrue()
        }

        test("a fleet that starts while the store is down is not ready, and is once the store is back") {
            val fleet = SpreadSimulation(SEED)
            fleet.store.accept()
            fleet.store.outage = true
            placeNames.forEach { place -> repeat(5) { fleet.start(place) } }
            fleet.relist()
            fleet.run(1.minutes)
            fleet.living.filter { it.isReady(fleet.now) }.shouldBeEmpty()
            fleet.store.outage = false
            fleet.run(IN_FORCE_BOUND)
            fleet.living.filterNot { it.isReady(fleet.now) }.shouldBeEmpty()
        }

        test("deliberate fault: a process that takes older content is caught") {
            shouldThrow<IllegalStateException> {
                (0 until 20).forEach { RandomSchedule(SEED + it, fault = DeliberateFault.TAKES_OLDER).run() }
            }
        }

        test("deliberate fault: without notices and checks the bound is missed") {
            val fleet = fleet(settings = SpreadSettings(checkPeriod = 1.hours), fault = DeliberateFault.DROPS_NOTICES)
            fleet.store.accept()
            fleet.timeUntilEverywhere(fleet.store.revision, IN_FORCE_BOUND) shouldBe null
        }
    })
