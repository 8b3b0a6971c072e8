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

/** Sends that a schedule may take: refusals are bounded, and so are possible runs. */
private const val MOST_SENDS = 12

/** What an upstream does with a request, what the sender sees of it, and whether the request has run in the end. */
private enum class Act(val seen: SendEnd?, val runs: Boolean) {
    ANSWERS(null, true),
    IS_GONE(SendEnd.NOT_SENT, false),
    REFUSES(SendEnd.REJECTED, false),
    IS_ANOTHER_AT_THE_SAME_ADDRESS(SendEnd.MISDIRECTED, false),
    RESETS_UNREAD(SendEnd.BROKEN, false),
    RUNS_AND_RESETS(SendEnd.BROKEN, true),
    ANSWERS_IN_PART(SendEnd.BROKEN, true),
    DIES_SILENTLY(SendEnd.SILENT, false),
    FREEZES_AND_RUNS_LATER(SendEnd.SILENT, true),
    SENDS_ANOTHERS_ANSWER(SendEnd.GARBLED, true),
    FAILS(SendEnd.FAILED, true),
}

private enum class Promise {
    RUNS_ONCE,
    RUNS_WITHIN_THE_ROUTES_LIMIT,
    SAYS_NOT_RUN_ONLY_IF_SO,
    ENDS,
}

/** A fault put in on purpose: how the sender [misreads] an end, and [extraUpstreams] beyond the route's limit. */
private class Fault(
    val name: String,
    val breaks: Promise,
    val extraUpstreams: Int = 0,
    val countsRefusals: Boolean = true,
    val misreads: (SendEnd) -> SendEnd = { it },
)

private val faults = listOf(
    Fault("a reset is taken for a refusal", Promise.RUNS_ONCE) { if (it == SendEnd.BROKEN) SendEnd.REJECTED else it },
    Fault("silence is taken for a request that was not sent", Promise.SAYS_NOT_RUN_ONLY_IF_SO) {
        if (it == SendEnd.SILENT) SendEnd.NOT_SENT else it
    },
    Fault("another's answer is taken for a misdirected request", Promise.SAYS_NOT_RUN_ONLY_IF_SO) {
        if (it == SendEnd.GARBLED) SendEnd.MISDIRECTED else it
    },
    Fault("one upstream more than the route allows", Promise.RUNS_WITHIN_THE_ROUTES_LIMIT, extraUpstreams = 1),
    Fault("refusals are not counted", Promise.ENDS, countsRefusals = false),
)

/** One request under a random schedule, with [fault] put in. */
private class Play(private val random: Random, private val fault: Fault?) {
    private val kind = RouteKind.entries.random(random)
    private val isResumable = kind == RouteKind.STREAMING && random.nextBoolean()
    private val limit = random.nextInt(1, 4)
    private val acts = Act.entries.filter { random.nextInt(3) > 0 }.ifEmpty { Act.entries }
    private var history = newHistory()
    private var runs = 0
    private var sends = 0

    /** Plays to the end and answers the promises that were broken. */
    fun broken(): Set<Promise> {
        var isAnswered = false
        while (!isAnswered && sends < MOST_SENDS && history.maySendAgain()) isAnswered = send(acts.random(random))
        return Promise.entries.filterTo(HashSet(), ::isBroken)
    }

    /** Answers true where the request was answered whole. */
    private fun send(act: Act): Boolean {
        history.onSend(InstanceId("u${sends++}"))
        if (act.runs) runs++
        if (act.seen == null) {
            history.onAnswered()
            return true
        }
        history.onEnd(fault?.misreads?.invoke(act.seen) ?: act.seen)
        if (fault?.countsRefusals == false && history.hasNotRun) history = newHistory()
        return false
    }

    private fun isBroken(promise: Promise): Boolean {
        val isRepeatable = kind == RouteKind.IDEMPOTENT || isResumable
        return when (promise) {
            Promise.RUNS_ONCE -> !isRepeatable && runs > 1
            Promise.RUNS_WITHIN_THE_ROUTES_LIMIT -> isRepeatable && runs > limit
            Promise.SAYS_NOT_RUN_ONLY_IF_SO -> history.hasNotRun && runs > 0
            Promise.ENDS -> sends >= MOST_SENDS
        }
    }

    private fun newHistory() = SendHistory(route(kind, isResumable, limit + (fault?.extraUpstreams ?: 0)))
}

private fun play(random: Random, fault: Fault? = null): Set<Promise> = Play(random, fault).broken()

class SendScheduleTest :
    FunSpec({
        test("whatever upstreams do, no promise is broken") {
            val random = Random(SEED)
            repeat(SCHEDULES) { number ->
                withClue("seed $SEED, schedule $number") { play(random).shouldBeEmpty() }
            }
        }

        context("a fault put in on purpose breaks the promise that it should") {
            withData<Fault>({ it.name }, faults) { fault ->
                val random = Random(SEED)
                val broken = (0 until SCHEDULES).flatMapTo(HashSet()) { play(random, fault) }
                withClue("seed $SEED") { broken shouldContain fault.breaks }
            }
        }
    })
