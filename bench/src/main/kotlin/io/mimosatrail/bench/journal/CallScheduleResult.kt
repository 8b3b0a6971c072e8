package io.mimosatrail.bench.journal

import io.mimosatrail.core.calls.CallDecision
import io.mimosatrail.core.calls.CallInvariant
import io.mimosatrail.core.outcome.Outcome
import io.mimosatrail.core.outcome.Refusal
import io.mimosatrail.core.outcome.RefusalReason

/** One attempt of a caller. [decision] is null if no answer reached the caller. */
internal class SimulatedAttempt(val call: SimulatedCall, val isLast: Boolean) {
    var decision: CallDecision? = null

    val isNotRun: Boolean get() = refusal?.outcome == Outcome.NOT_RUN

    /** True if another owner may accept the call. */
    val isRetryable: Boolean get() = isNotRun && refusal?.reason in setOf(RefusalReason.STALE, RefusalReason.DRAINING)

    private val refusal: Refusal? get() = (decision as? CallDecision.Refuse)?.refusal

    /** True without any answer, and for a refusal as not run unless its reason is a conflict of the key. */
    fun isUnserved(): Boolean = when (val decision = decision) {
        null -> true
        is CallDecision.Answer -> false
        is CallDecision.Refuse -> isNotRun && decision.refusal.reason != RefusalReason.CONFLICT
    }

    /** Body of the upstream's answer, null if there was none. */
    val answer: String? get() = (decision as? CallDecision.Answer)?.answer?.body?.decodeToString()
}

/** Outcome of a schedule as seen from outside the system: by its callers and its upstream. */
internal class CallScheduleResult(
    val seed: Long,
    val attempts: List<SimulatedAttempt>,
    val records: List<SimulatedRecord>,
    val violations: List<CallInvariant>,
) {
    private val recordsOf = records.groupBy { it.call.key }

    /** Number of records beyond the first of each key. */
    val duplicates: Int = recordsOf.values.sumOf { it.size - 1 }

    val answered: Int get() = attempts.count { it.answer != null }

    /** Calls that the upstream recorded although every attempt was refused as not run. */
    val falseNotRun: List<SimulatedCall> = attempts.groupBy { it.call }
        .filter { (call, attempts) -> attempts.all { it.isNotRun } && records.any { it.call == call } }
        .keys.toList()

    /** Attempts whose answer differs from that of the only record of their key. */
    val wrongAnswers: List<SimulatedAttempt> = attempts.filter { attempt ->
        attempt.answer != null && attempt.answer != recordsOf[attempt.call.key]?.singleOrNull()?.let(::answerOf)
    }

    /** Attempts that received the answer to a different body. */
    val misdelivered: List<SimulatedAttempt> = attempts.filter { attempt ->
        attempt.answer?.endsWith(" ${attempt.call.body}") == false
    }

    /** Last attempts, made after all faults ended, that are unserved. */
    val notRecovered: List<SimulatedAttempt> = attempts.filter { it.isLast && it.isUnserved() }

    override fun toString(): String =
        "seed $seed: $duplicates duplicates, ${falseNotRun.size} false not-run, ${wrongAnswers.size} wrong answers, " +
            "${misdelivered.size} misdelivered, ${notRecovered.size} not recovered, " +
            "violations $violations"

    private fun answerOf(record: SimulatedRecord) = "${record.number} ${record.call.body}"
}
