package io.mimosatrail.bench.journal

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val SEED = 20_261_204L
private const val SCHEDULES_PER_CASE = 25

private data class Case(val faults: Set<SimulatedFault>) {
    override fun toString() = faults.joinToString("+").ifEmpty { "no faults" }
}

private val cases = listOf(Case(emptySet())) +
    SimulatedFault.entries.map { Case(setOf(it)) } +
    listOf(
        Case(setOf(SimulatedFault.PAUSE, SimulatedFault.CRASH)),
        Case(setOf(SimulatedFault.OUTAGE, SimulatedFault.LOST_ANSWERS, SimulatedFault.PAUSE)),
        Case(setOf(SimulatedFault.LEAVE, SimulatedFault.CRASH, SimulatedFault.LOST_ANSWERS)),
        Case(SimulatedFault.entries.toSet()),
    )

private fun results(faults: Set<SimulatedFault>, defect: SimulatedDefect = SimulatedDefect.NONE) =
    (SEED until SEED + SCHEDULES_PER_CASE).map { CallSchedule(it, faults, defect).run() }

class CallScheduleTest :
    FunSpec({
        context("no call runs twice and every caller gets a correct answer or refusal, with") {
            println("seeds $SEED until ${SEED + SCHEDULES_PER_CASE}")
            withData(nameFn = { it.toString() }, cases) { case ->
                results(case.faults).forEach { result ->
                    withClue(result.toString()) {
                        result.duplicates shouldBe 0
                        result.falseNotRun.shouldBeEmpty()
                        result.wrongAnswers.shouldBeEmpty()
                        result.misdelivered.shouldBeEmpty()
                        result.violations.shouldBeEmpty()
                        result.notRecovered.shouldBeEmpty()
                        result.answered shouldBeGreaterThan 0
                    }
                }
            }
        }

        test("without seals, pauses of owners lead to duplicate runs") {
            results(setOf(SimulatedFault.PAUSE), SimulatedDefect.NO_SEAL).sumOf { it.duplicates } shouldBeGreaterThan 0
        }

        test("without stored claims, crashes of owners lead to duplicate runs") {
            results(setOf(SimulatedFault.CRASH), SimulatedDefect.NO_CLAIM).sumOf { it.duplicates } shouldBeGreaterThan 0
        }
    })
