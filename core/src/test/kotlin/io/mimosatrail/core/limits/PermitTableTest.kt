package io.mimosatrail.core.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.mimosatrail.core.config.Workspace
import io.mimosatrail.core.id.WorkspaceId
import io.mimosatrail.core.time.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SEED = 20_261_204L
private const val ENTRIES = 10
private const val LIMIT = 100
private val STEP: Duration = 10.milliseconds

/** Entries that share one workspace's limit. Messages between an entry and the home are lost while [isCut]. */
private class SharedLimit(private val isCut: (entry: Int, now: Moment) -> Boolean) {
    private val workspace = Workspace(WorkspaceId("captains"), emptyList(), LIMIT, 1_000_000)
    private val tables = List(ENTRIES) { PermitTable() }
    private val lender = PermitLender()
    private val random = Random(SEED)
    var now = Moment(0)
    var admitted = 0

    fun run(length: Duration, perSecond: Int, target: (Random) -> Int) {
        val end = now + length
        while (now < end) {
            now += STEP
            repeat(perSecond / 100) { if (admit(target(random))) admitted++ }
            tables.forEachIndexed { i, table -> exchange(i, table) }
        }
    }

    private fun admit(entry: Int) = tables[entry].admit(workspace, 1, 1.0 / ENTRIES, now) == LimitDecision.Admitted

    private fun exchange(entry: Int, table: PermitTable) {
        for (request in table.takeDueRequests(now)) {
            if (isCut(
                    entry,
                    now,
                )
            ) {
                table.onNoAnswer(request)
            } else {
                table.onGrant(lender.lend(request, workspace, now), now)
            }
        }
    }
}

private class Case(
    val name: String,
    val isCut: (Int, Moment) -> Boolean,
    val target: (Random) -> Int,
    val minimumRatio: Double,
)

class PermitTableTest :
    FunSpec({
        context("ten entries share a limit under ten times its rate") {
            val anyEntry = { random: Random -> random.nextInt(ENTRIES) }
            val isHomeDead = { _: Int, now: Moment -> now > Moment(0) + 10.seconds && now < Moment(0) + 20.seconds }
            withData(
                nameFn = { case: Case -> case.name },
                Case("spread evenly", { _, _ -> false }, anyEntry, 0.9),
                Case("all at one entry", { _, _ -> false }, { 0 }, 0.9),
                Case("home dead for a third of the time", isHomeDead, anyEntry, 0.9),
                Case("home dead all the time", { _, _ -> true }, anyEntry, 0.9),
                Case("home dead, all at one entry", { _, _ -> true }, { 0 }, 0.09),
            ) { case ->
                val shared = SharedLimit(case.isCut)
                shared.run(30.seconds, perSecond = 1_000, case.target)
                val ratio = shared.admitted / (30.0 * LIMIT)
                ratio shouldBeGreaterThanOrEqual case.minimumRatio
                ratio shouldBeLessThanOrEqual 1.1
            }
        }

        test("entries cut off from the home admit at most their fair shares on top of what the home lends to others") {
            val shared = SharedLimit { entry, _ -> entry < 5 }
            shared.run(30.seconds, perSecond = 1_000) { it.nextInt(ENTRIES) }
            shared.admitted / (30.0 * LIMIT) shouldBeLessThanOrEqual 1.6
        }
    })
