package io.mimosatrail.bench.scenario

import java.util.concurrent.ConcurrentLinkedQueue

/**
 * One attempt to send a report, as its caller saw it. [recordId] is the id in the application's answer, or null if the
 * application did not answer.
 */
data class ObservedReport(val service: String, val key: String, val outcome: ObservedOutcome, val recordId: Long?)

/**
 * One model answer, as its caller saw it. [isFinished] is true if the stream ended with its finish event; [reference]
 * is the answer that the model gives for the same prompt.
 */
data class ObservedAnswer(val name: String, val text: String, val isFinished: Boolean, val reference: String)

/** A record that an application created for the report with [key]. */
data class ApplicationRecord(val service: String, val key: String, val id: Long)

/** Collects what callers observed and compares it with the records that the applications created. Thread-safe. */
class InvariantChecker {
    private val reports = ConcurrentLinkedQueue<ObservedReport>()
    private val answers = ConcurrentLinkedQueue<ObservedAnswer>()

    /** Adds the outcome of one attempt to send a report. */
    fun observe(report: ObservedReport) {
        reports += report
    }

    /** Adds what the caller of a model request received. */
    fun observe(answer: ObservedAnswer) {
        answers += answer
    }

    /** Returns all violations among the observations so far; [records] are all records of all applications. */
    fun violations(records: List<ApplicationRecord>): List<Violation> {
        val recordsByKey = records.groupBy { ReportKey(it.service, it.key) }
        val reportsByKey = reports.groupBy { ReportKey(it.service, it.key) }
        val keys = recordsByKey.keys + reportsByKey.keys
        return keys.flatMap { check(it, reportsByKey[it].orEmpty(), recordsByKey[it].orEmpty()) } +
            answers.mapNotNull(::check)
    }

    private fun check(
        key: ReportKey,
        reports: List<ObservedReport>,
        records: List<ApplicationRecord>,
    ): List<Violation> {
        val answered = reports.filter { it.outcome == ObservedOutcome.RECORDED }
        return buildList {
            if (records.size > 1) add(Violation(Invariant.AT_MOST_ONCE, "$key has ${records.size} records"))
            if (records.isNotEmpty() && reports.isNotEmpty() && reports.all { it.outcome == ObservedOutcome.NOT_RUN }) {
                add(Violation(Invariant.TRUTHFUL_NOT_RUN, "$key ended not-run in every attempt but has a record"))
            }
            if (records.isEmpty() && answered.isNotEmpty()) {
                add(Violation(Invariant.NOT_LOST, "$key was answered but has no record"))
            }
            val mismatched = answered.filter { report -> records.none { it.id == report.recordId } }
            if (records.isNotEmpty() && mismatched.isNotEmpty()) {
                val ids = mismatched.map { it.recordId }
                add(Violation(Invariant.OWN_ANSWER, "$key was answered with ids $ids, which none of its records has"))
            }
        }
    }

    private fun check(answer: ObservedAnswer): Violation? = when {
        answer.isFinished && answer.text != answer.reference ->
            Violation(
                Invariant.WHOLE_ANSWER,
                "${answer.name} finished with ${answer.text.length} characters that differ from the model's answer",
            )
        !answer.reference.startsWith(answer.text) ->
            Violation(Invariant.RIGHT_TOKENS, "${answer.name} received tokens that differ from the model's answer")
        else -> null
    }

    private data class ReportKey(val service: String, val key: String) {
        override fun toString() = "report $key of $service"
    }
}

/** A violated invariant. */
data class Violation(val invariant: Invariant, val detail: String)

/** What must hold in every scenario and soak run. */
enum class Invariant {
    /** A report creates at most one record. */
    AT_MOST_ONCE,

    /** A report whose attempts all ended as not run has no record. */
    TRUTHFUL_NOT_RUN,

    /** An answered report has a record. */
    NOT_LOST,

    /** The answer to a report contains the id of that report's record. */
    OWN_ANSWER,

    /** A model answer that ends with the finish event equals the model's answer. */
    WHOLE_ANSWER,

    /** A model answer that was cut is a prefix of the model's answer. */
    RIGHT_TOKENS,

    /** A planned stop cuts no request. */
    GRACEFUL_STOP,
}
