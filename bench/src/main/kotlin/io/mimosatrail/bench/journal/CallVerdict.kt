package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallDecision
import io.mimosatrail.core.calls.CallInvariant
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason

/** One attempt of a caller; [decision] is null where no answer reached it. */
internal class SimulatedAttempt(val call: SimulatedCall, val isLast: Boolean) {
    var decision: CallDecision? = null

    val isNotRun: Boolean get() = refusal?.outcome == Outcome.NOT_RUN

    /** True where another owner may take the call. */
    val isElsewhere: Boolean get() = isNotRun && refusal?.reason in setOf(RefusalReason.STALE, RefusalReason.DRAINING)

    private val refusal: Refusal? get() = (decision as? CallDecision.Refuse)?.refusal

    /** True for neither an answer nor an honest end; a key that another body holds is served. */
    fun isUnserved(): Boolean = when (val decision = decision) {
        null -> true
        is CallDecision.Answer -> false
        is CallDecision.Refuse -> isNotRun && decision.refusal.reason != RefusalReason.CONFLICT
    }

    /** What the upstream's answer says, null where there was none. */
    val answer: String? get() = (decision as? CallDecision.Answer)?.answer?.body?.decodeToString()
}

/** What a schedule showed to an observer outside of the system. */
internal class CallVerdict(
    val seed: Long,
    val attempts: List<SimulatedAttempt>,
    val records: List<SimulatedRecord>,
    val violations: List<CallInvariant>,
) {
    private val recordsOf = records.groupBy { it.call.key }

    /** Records beyond the first of their key. */
    val doubles: Int = recordsOf.values.sumOf { it.size - 1 }

    val answered: Int get() = attempts.count { it.answer != null }

    /** Calls whose every attempt was told that it did not run, though the upstream recorded it. */
    val falseNotRun: List<SimulatedCall> = attempts.groupBy { it.call }
        .filter { (call, attempts) -> attempts.all { it.isNotRun } && records.any { it.call == call } }
        .keys.toList()

    /** Attempts that got an answer which is not that of the one record of their call. */
    val wrongAnswers: List<SimulatedAttempt> = attempts.filter { attempt ->
        attempt.answer != null && attempt.answer != recordsOf[attempt.call.key]?.singleOrNull()?.let(::answerOf)
    }

    /** Answers to another body than the caller's own. */
    val swapped: List<SimulatedAttempt> = attempts.filter { attempt ->
        attempt.answer?.endsWith(" ${attempt.call.body}") == false
    }

    /** Last attempts, made after all faults, that were refused as not run or got no answer at all. */
    val notRecovered: List<SimulatedAttempt> = attempts.filter { it.isLast && it.isUnserved() }

    override fun toString(): String =
        "seed $seed: $doubles doubled, ${falseNotRun.size} false not-run, ${wrongAnswers.size} wrong answers, " +
            "${swapped.size} swapped, ${notRecovered.size} not recovered, " +
            "violations $violations"

    private fun answerOf(record: SimulatedRecord) = "${record.number} ${record.call.body}"
}
