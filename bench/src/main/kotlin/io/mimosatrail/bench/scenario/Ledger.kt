package io.mimosatrail.bench.scenario

import java.util.concurrent.ConcurrentLinkedQueue

/** One report as its caller saw it; [recordId] is the id in the application's answer. */
data class ToldReport(val service: String, val key: String, val outcome: ToldOutcome, val recordId: Long?)

/** One model answer as its caller saw it, with the answer of the reference model. */
data class ToldAnswer(val name: String, val text: String, val finished: Boolean, val reference: String)

/** A record that an application made for the report with [key]. */
data class MadeRecord(val service: String, val key: String, val id: Long)

/** What callers were told, to be compared with what was done. */
class Ledger {
    private val reports = ConcurrentLinkedQueue<ToldReport>()
    private val answers = ConcurrentLinkedQueue<ToldAnswer>()

    /** Notes what the caller of a report was told. */
    fun note(report: ToldReport) {
        reports += report
    }

    /** Notes what the caller of a model request received. */
    fun note(answer: ToldAnswer) {
        answers += answer
    }

    /** Every promise that was broken, given all records that the applications made. */
    fun violations(records: List<MadeRecord>): List<Violation> {
        val made = records.groupBy { ReportKey(it.service, it.key) }
        val told = reports.groupBy { ReportKey(it.service, it.key) }
        val keys = made.keys + told.keys
        return keys.flatMap { check(it, told[it].orEmpty(), made[it].orEmpty()) } + answers.mapNotNull(::check)
    }

    private fun check(key: ReportKey, told: List<ToldReport>, made: List<MadeRecord>): List<Violation> {
        val answered = told.filter { it.outcome == ToldOutcome.RECORDED }
        return buildList {
            if (made.size > 1) add(Violation(Promise.AT_MOST_ONCE, "$key has ${made.size} records"))
            if (made.isNotEmpty() && told.isNotEmpty() && told.all { it.outcome == ToldOutcome.NOT_RUN }) {
                add(Violation(Promise.TRUTHFUL_NOT_RUN, "$key was told not-run only, and has a record"))
            }
            if (made.isEmpty() && answered.isNotEmpty()) add(Violation(Promise.NOT_LOST, "$key was answered"))
            val wrong = answered.filter { answer -> made.none { it.id == answer.recordId } }
            if (made.isNotEmpty() && wrong.isNotEmpty()) {
                add(Violation(Promise.OWN_ANSWER, "$key was answered with ${wrong.map { it.recordId }}"))
            }
        }
    }

    private fun check(answer: ToldAnswer): Violation? = when {
        answer.finished && answer.text != answer.reference ->
            Violation(Promise.WHOLE_ANSWER, "${answer.name} finished with ${answer.text.length} wrong characters")
        !answer.reference.startsWith(answer.text) ->
            Violation(Promise.RIGHT_TOKENS, "${answer.name} received other tokens than the model's")
        else -> null
    }

    private data class ReportKey(val service: String, val key: String) {
        override fun toString() = "report $key of $service"
    }
}

/** A broken promise. */
data class Violation(val promise: Promise, val detail: String)

/** What must hold in every story and run. */
enum class Promise {
    /** A report makes at most one record. */
    AT_MOST_ONCE,

    /** A report that was only ever told as not run has no record. */
    TRUTHFUL_NOT_RUN,

    /** An answered report has a record. */
    NOT_LOST,

    /** An answer names the record of its own report. */
    OWN_ANSWER,

    /** A model answer that looks whole is the model's answer. */
    WHOLE_ANSWER,

    /** A model answer that was cut is a beginning of the model's answer. */
    RIGHT_TOKENS,

    /** A planned stop cuts no request. */
    GRACEFUL_STOP,
}
