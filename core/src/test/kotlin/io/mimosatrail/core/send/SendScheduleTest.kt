package io.mimosatrail.core.send

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.mimosatrail.core.front.RouteKind
import io.mimosatrail.core.id.InstanceId
import kotlin.random.Random

private const val SEED = 20_261_204
private const val SCHEDULES = 3_000

/** More sends than any schedule needs, since refused sends and possible runs are both limited. */
private const val MAX_SENDS = 12

/** What an upstream does with a request, how the send ends (null if it is answered), and whether the request runs. */
private enum class Behavior(val end: SendEnd?, val runs: Boolean) {
    ANSWERS(null, true),
    IS_GONE(SendEnd.NOT_SENT, false),
    REFUSES(SendEnd.REJECTED, false),
    WAS_REPLACED_AT_ITS_ADDRESS(SendEnd.MISDIRECTED, false),
    RESETS_UNREAD(SendEnd.BROKEN, false),
    RUNS_AND_RESETS(SendEnd.BROKEN, true),
    ANSWERS_PARTIALLY(SendEnd.BROKEN, true),
    DIES_SILENTLY(SendEnd.SILENT, false),
    FREEZES_AND_RUNS_LATER(SendEnd.SILENT, true),
    ANSWERS_ANOTHER_REQUEST(SendEnd.GARBLED, true),
    FAILS(SendEnd.FAILED, true),
}

/** What must hold for every request. */
private enum class Guarantee {
    RUNS_ONCE,
    RUNS_WITHIN_ROUTE_LIMIT,
    NO_FALSE_NOT_RUN,
    TERMINATES,
}

/**
 * A bug that is injected into the sender: [misreads] maps the end of a send to the one that it records, and
 * [extraUpstreams] is added to the route's limit. If not [countsRefusals], sends that did not run are forgotten.
 */
private class InjectedBug(
    val name: String,
    val breaks: Guarantee,
    val extraUpstreams: Int = 0,
    val countsRefusals: Boolean = true,
    val misreads: (SendEnd) -> SendEnd = { it },
)

private val injectedBugs = listOf(
    InjectedBug("a reset is recorded as a refusal", Guarantee.RUNS_ONCE) {
        if (it == SendEnd.BROKEN) SendEnd.REJECTED else it
    },
    InjectedBug("a timeout is recorded as a request that was not sent", Guarantee.NO_FALSE_NOT_RUN) {
        if (it == SendEnd.SILENT) SendEnd.NOT_SENT else it
    },
    InjectedBug("an answer to another request is recorded as a misdirected request", Guarantee.NO_FALSE_NOT_RUN) {
        if (it == SendEnd.GARBLED) SendEnd.MISDIRECTED else it
    },
    InjectedBug("one upstream more than the route allows", Guarantee.RUNS_WITHIN_ROUTE_LIMIT, extraUpstreams = 1),
    InjectedBug("refusals are not counted", Guarantee.TERMINATES, countsRefusals = false),
)

/** A send that was left open and will end as [end]. */
private class OpenSend(val upstream: InstanceId, val end: SendEnd)

/** Simulates one request under a random schedule, with [bug] injected if it is not null. */
private class Simulation(private val random: Random, private val bug: InjectedBug?) {
    private val kind = RouteKind.entries.random(random)
    private val isResumable = kind == RouteKind.STREAMING && random.nextBoolean()
    private val limit = random.nextInt(1, 4)
    private val behaviors = Behavior.entries.filter { random.nextInt(3) > 0 }.ifEmpty { Behavior.entries }
    private var history = newHistory()
    private var runs = 0

    /** True if a send may be left open while the request is sent to another upstream. */
    private val mayOverlap = random.nextBoolean()
    private val open = ArrayDeque<OpenSend>()
    private var sends = 0

    /** Runs the simulation and returns the guarantees that were broken. */
    fun run(): Set<Guarantee> {
        var isAnswered = false
        while (!isAnswered && sends < MAX_SENDS) {
            if (history.maySendAgain()) {
                isAnswered = send(behaviors.random(random))
            } else if (open.isNotEmpty()) {
                endOldest()
            } else {
                break
            }
        }
        while (open.isNotEmpty()) endOldest()
        return Guarantee.entries.filterTo(HashSet(), ::isBroken)
    }

    /** Returns true if the request got a complete answer. */
    private fun send(behavior: Behavior): Boolean {
        val upstream = InstanceId("u${sends++}")
        history.onSend(upstream)
        if (behavior.runs) runs++
        if (behavior.end == null) {
            history.onAnswered(upstream)
            return true
        }
        val end = bug?.misreads?.invoke(behavior.end) ?: behavior.end
        if (mayOverlap && random.nextBoolean()) open += OpenSend(upstream, end) else history.onEnd(upstream, end)
        if (open.isNotEmpty() && random.nextBoolean()) endOldest()
        if (bug?.countsRefusals == false && history.hasNotRun) history = newHistory()
        return false
    }

    private fun endOldest() {
        val send = open.removeFirst()
        history.onEnd(send.upstream, send.end)
    }

    private fun isBroken(guarantee: Guarantee): Boolean {
        val isRepeatable = kind == RouteKind.IDEMPOTENT || isResumable
        return when (guarantee) {
            Guarantee.RUNS_ONCE -> !isRepeatable && runs > 1
            Guarantee.RUNS_WITHIN_ROUTE_LIMIT -> isRepeatable && runs > limit
            Guarantee.NO_FALSE_NOT_RUN -> history.hasNotRun && runs > 0
            Guarantee.TERMINATES -> sends >= MAX_SENDS
        }
    }

    private fun newHistory() = SendHistory(route(kind, isResumable, limit + (bug?.extraUpstreams ?: 0)))
}

private fun simulate(random: Random, bug: InjectedBug? = null): Set<Guarantee> = Simulation(random, bug).run()

class SendScheduleTest :
    FunSpec({
        test("the guarantees hold under random schedules") {
            val random = Random(SEED)
            repeat(SCHEDULES) { number ->
                withClue("seed $SEED, schedule $number") { simulate(random).shouldBeEmpty() }
            }
        }

        context("the guarantees detect an injected bug") {
            withData<InjectedBug>({ it.name }, injectedBugs) { bug ->
                val random = Random(SEED)
                val broken = (0 until SCHEDULES).flatMapTo(HashSet()) { simulate(random, bug) }
                withClue("seed $SEED") { broken shouldContain bug.breaks }
            }
        }
    })
